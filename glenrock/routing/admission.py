"""Which clients are admitted: a learned cap on active load, a quota of the free load, and the waiting queue.

All balancers share one cap, of which each keeps its own estimate. The free load goes to the oldest buckets of
the waiting queue first; the bucket that exceeds it is divided among the balancers by their fractions of the
clients some seconds ago. Reasons: docs/design.md.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from . import load_targets
from .activity_history import ActivityHistory
from .capacity_estimation import CapacityEstimator
from .client_sessions import ClientSessions
from .event_batch import NEVER_US, SECOND_US, EventBatch
from .gossip import Gossip
from .interface import AttemptOutcome, Settings
from .load_estimation import FEEDBACK_DELAY_US, LoadEstimator
from .outlier_ejection import OutlierEjection
from .server_index import ServerIndex
from .slow_start import SlowStart
from .state import Attempt, RoutedRequest
from .waiting_queue import MAX_WAITING_CLIENTS, NO_BUCKET, WaitingQueue

NO_CAP = float("inf")
LAG_US = 4 * SECOND_US  # age of the counts that quotas use: gossip of that age has arrived or is lost
CAP_CUT_FACTOR = 0.85  # once per feedback delay
CAP_RISE_FRACTION = 0.25  # per round, of the way to the load that reports show to be bearable
OPEN_CAP_RATIO = 4  # a cap above this multiple of the active load becomes NO_CAP
MIN_ROUND_ATTEMPTS = 4  # fewer attempts of a round prove nothing
MAX_DROPPED_FRACTION = 0.2  # of a round's attempts; more dropped by their servers show a full fleet
DROPPING_SERVERS_DIVISOR = 3  # one warm server in so many has to drop connections
FEW_SERVERS = 3  # among fewer warm servers a single one that drops connections is enough
DROP_OUTCOMES = frozenset((AttemptOutcome.FULL, AttemptOutcome.BROKEN))  # how a full server ends attempts


@dataclass(eq=False)
class AdmissionController:
    """The learned cap on the active load, and this round's quota.

    Attributes:
        load_cap: bound on the active load of all balancers; `NO_CAP` while it does not bind.
        slow_start_load_cap: active load allowed beside it, for servers that are warming up.
        quota: load that may still be admitted this round, for `partial_bucket`; for all if no client waits.
        last_open_bucket: clients of this bucket and of older ones are admitted.
        partial_bucket: the bucket that exceeds the free load; its clients are admitted within the quota.
        extra_buckets: how many buckets younger than `partial_bucket` may use the quota too.
        may_admit_newcomers: no client waits, and the cap leaves ample free load.
        has_rejected_young_bucket: a client was rejected this round because its bucket is too young.
    """

    batch: EventBatch
    settings: Settings
    rng: random.Random
    index: ServerIndex
    sessions: ClientSessions
    waiting_queue: WaitingQueue
    gossip: Gossip
    loads: LoadEstimator
    capacity: CapacityEstimator
    slow_start: SlowStart
    ejection: OutlierEjection
    history: ActivityHistory
    load_cap: float = field(init=False, default=NO_CAP)
    slow_start_load_cap: float = field(init=False, default=0.0)
    quota: float = field(init=False, default=0.0)
    last_open_bucket: int = field(init=False, default=-NO_BUCKET)
    partial_bucket: int = field(init=False, default=NO_BUCKET)
    may_admit_newcomers: bool = field(init=False, default=True)
    has_rejected_young_bucket: bool = field(init=False, default=False)
    extra_buckets: int = field(init=False, default=0)
    _cap_cut_us: int = field(init=False, default=NEVER_US)
    _load_admitted_beside_quota: float = field(init=False, default=0.0)
    _attempts: int = field(init=False, default=0)
    _dropped: int = field(init=False, default=0)
    _dropping_servers: set[str] = field(init=False, default_factory=set)

    @property
    def is_cap_open(self) -> bool:
        """Whether the cap does not bind."""
        return self.load_cap == NO_CAP

    # -- one request ---------------------------------------------------------------------------------

    def admit(self, request: RoutedRequest) -> bool:
        """Returns whether the request is admitted. If not, its client joins the waiting queue."""
        if self._continues_session(request):
            self.sessions.add_connection(request)
            return True
        client = self.waiting_queue.get(request.key)
        bucket = client.bucket if client else self.waiting_queue.current_bucket()
        is_admitted = self._fits_cap(request, bucket, is_waiting=client is not None)
        if not is_admitted and self._fits_warming_server(request):
            is_admitted = request.is_slow_start_only = True
        if is_admitted:
            self.waiting_queue.remove(request.key)
            self.sessions.add_connection(request)
        else:
            self.waiting_queue.add_rejected(request, bucket)
        return is_admitted

    def _continues_session(self, request: RoutedRequest) -> bool:
        """Returns whether the request's client is admitted already.

        While the active load exceeds the cap, a session without connections ends and its client has to wait:
        servers that drop connections by the hundred would stay overloaded if all these clients returned.
        """
        if request.event.is_midstream:
            return True
        session = self.sessions.get(request.key)
        if session is None:
            return False
        if session.connections or self.gossip.tier_load() <= self.load_cap + self.slow_start_load_cap:
            return True
        self.sessions.end(request.key)
        return False

    def _fits_cap(self, request: RoutedRequest, bucket: int, is_waiting: bool) -> bool:
        if self.may_admit_newcomers or (is_waiting and bucket <= self.last_open_bucket):
            self._load_admitted_beside_quota += request.load
            return True
        if bucket > self.partial_bucket + self.extra_buckets:
            self.has_rejected_young_bucket = True
            return False
        # A quota below one client's load admits a client with the matching probability.
        is_admitted = self.quota >= request.load or self.rng.random() * request.load < self.quota
        if is_admitted:
            self.quota = max(0.0, self.quota - request.load)
        return is_admitted

    def _fits_warming_server(self, request: RoutedRequest) -> bool:
        """Returns whether a server that is warming up may receive the request beside the cap.

        Slow-start budgets limit that load by themselves, and are unused while the other servers are full.
        A server that became warm since the last round has no budget any more: its load counts in the cap.
        """
        return any(
            not self.slow_start.is_warm(server) and self.ejection.may_receive(server, request.load)
            for server in self.slow_start.warming
        )

    # -- outcomes of attempts ------------------------------------------------------------------------

    def record_attempt(self) -> None:
        """Counts an attempt that was sent."""
        self._attempts += 1

    def record_fault(self, request: RoutedRequest, attempt: Attempt) -> bool:
        """Counts an attempt that failed at its server. Returns whether the client keeps its session.

        An overloaded server drops its newest connections. Their clients lose their sessions and wait, or they
        would return at once and be dropped again.
        """
        is_long_established = self.batch.now_us - attempt.sent_at_us > self.sessions.session_timeout_us
        keep_session = not request.server or is_long_established
        if attempt.outcome in DROP_OUTCOMES and not (request.server and keep_session):
            self._dropped += 1
            self._dropping_servers.add(attempt.server.server_id)
        return keep_session

    def record_new_peer(self, active_load: float) -> None:
        """Raises the cap by the load of a balancer heard for the first time: it is admitted already."""
        self.load_cap += active_load

    # -- the cap, once a round -----------------------------------------------------------------------

    def record_activity(self) -> None:
        """Records the present clients and load, for quotas and for load reports that arrive later."""
        clients = len(self.sessions) + len(self.waiting_queue)
        self.history.record(clients, self.gossip.tier_load())

    def update_cap(self) -> None:
        """Cuts the cap while the servers are full, once per feedback delay, and raises it in other rounds."""
        in_reach = self.ejection.servers_in_reach()
        # Servers that are warming up have free capacity that slow-start budgets withhold.
        warm, self.slow_start.warming = self.index.split_by_warmth(in_reach, self.slow_start.is_warm)
        self.capacity.follow_membership(warm)
        self.capacity.update_fleet_load(warm, self.gossip.tier_load())
        is_dropping = self._are_servers_dropping(len(warm))
        # Reports are late, so they are compared with the active load of their own time: against the present
        # load, clients that left would be cut again, and clients under way would be admitted again.
        sample = self.history.oldest_within(FEEDBACK_DELAY_US)
        past_load = sample.tier_load if sample else self.gossip.tier_load()
        bearable_load = past_load * load_targets.TARGET_LOAD / self.loads.bounded_fleet_load
        self._update_slow_start_load_cap(past_load, len(warm))
        if self.loads.fleet_load > load_targets.HIGH_LOAD or is_dropping:
            self._cut_cap(past_load, bearable_load)
        elif not self.is_cap_open:
            self._raise_cap(bearable_load)

    def _are_servers_dropping(self, warm_count: int) -> bool:
        """Returns whether this round's attempts show that the servers are full, and starts a new count.

        A single server that fails drops all its connections within a round. Only several servers that drop
        connections show a full fleet.
        """
        dropping_count = len(self._dropping_servers)
        are_several = dropping_count > 1 and DROPPING_SERVERS_DIVISOR * dropping_count > warm_count
        are_many_dropped = (
            self._attempts >= MIN_ROUND_ATTEMPTS and self._dropped > MAX_DROPPED_FRACTION * self._attempts
        )
        self._attempts = self._dropped = 0
        self._dropping_servers.clear()
        return are_many_dropped and (are_several or warm_count < FEW_SERVERS)

    def _update_slow_start_load_cap(self, past_load: float, warm_count: int) -> None:
        """Allows, beside the cap, the load that servers that are warming up may have received by now.

        The cap of a fleet that stays full does not rise, and restarted servers would stay empty under it.
        """
        filled = sum(self.slow_start.filled_fraction(server) for server in self.slow_start.warming)
        full_load = filled * load_targets.TARGET_LOAD * past_load
        self.slow_start_load_cap = full_load / self.loads.bounded_fleet_load / max(1, warm_count)

    def _cut_cap(self, past_load: float, bearable_load: float) -> None:
        if self.batch.now_us - self._cap_cut_us < FEEDBACK_DELAY_US:
            return
        self._cap_cut_us = self.batch.now_us
        if self.loads.fleet_load > load_targets.HIGH_LOAD:
            self.load_cap = min(self.load_cap, max(past_load / 2, bearable_load))
        else:
            self.load_cap = min(self.load_cap, self.gossip.tier_load() * CAP_CUT_FACTOR)

    def _raise_cap(self, bearable_load: float) -> None:
        self.load_cap += max(0.0, bearable_load - self.load_cap) * CAP_RISE_FRACTION
        if self.load_cap > OPEN_CAP_RATIO * self.gossip.tier_load():
            self.load_cap = NO_CAP

    # -- quotas, once a round ------------------------------------------------------------------------

    def lagged_clients(self) -> int:
        """Returns the number of clients seen here, `LAG_US` ago."""
        sample = self.history.oldest_within(LAG_US)
        return sample.clients if sample else 0

    def client_fraction(self) -> float | None:
        """Returns this balancer's fraction of all clients, `LAG_US` ago; None without a history."""
        own = self.lagged_clients()
        total = own + sum(peer.clients for peer in self.gossip.peers.values())
        return own / total if own and (self.gossip.peers or self.settings.balancers == 1) else None

    def update_quota(self) -> None:
        """Opens the oldest buckets as far as the free load goes, and takes a quota of the rest.

        A bucket holds the clients that began to wait at about the same time, at any balancer. With a free
        load of 72, and loads of 2, 50 and 60 waiting in buckets from old to young, the first two buckets are
        open: all their clients are admitted. The third is partial: 20 are left, less than it needs. The
        quotas of all balancers divide these 20 by their fractions of the clients.
        """
        tier_load = self.gossip.tier_load()
        waiting_load = self.gossip.tier_waiting_load()
        self.may_admit_newcomers = not waiting_load and tier_load < self.load_cap / 2
        free_load = max(0.0, self.load_cap + self.slow_start_load_cap - tier_load)
        client_fraction = self.client_fraction() or 1.0
        rest = self._open_oldest_buckets(waiting_load, free_load)
        if self.quota > 0 and self.has_rejected_young_bucket:
            # Quota is left over while clients of younger buckets were rejected: those of the partial bucket
            # retry at other balancers. So more of the younger buckets may use the quota.
            self.extra_buckets = min(2 * self.extra_buckets + 1, MAX_WAITING_CLIENTS)
        elif self.quota <= 0:
            self.extra_buckets = 0
        if self.has_rejected_young_bucket and free_load < NO_CAP:
            # The open buckets reserve free load, and only a part of their clients came. What they left unused
            # goes to the quota, since others were rejected meanwhile.
            rest = max(rest, free_load - self._load_admitted_beside_quota / client_fraction)
        self.has_rejected_young_bucket = False
        self._load_admitted_beside_quota = 0.0
        self.quota = rest * client_fraction

    def _open_oldest_buckets(self, waiting_load: Mapping[int, float], free_load: float) -> float:
        """Opens the oldest buckets that fit into the free load. Returns the load that is left over."""
        self.last_open_bucket, self.partial_bucket = -NO_BUCKET, NO_BUCKET
        for bucket in sorted(waiting_load):
            if waiting_load[bucket] > free_load:
                self.partial_bucket = bucket
                break
            self.last_open_bucket = bucket
            free_load -= waiting_load[bucket]
        return free_load
