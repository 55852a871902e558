"""Admission control: a learned cap on the active load, per-round quotas, and the order of waiting clients.

The cap applies to the total active load of all balancers, and each balancer estimates it independently. Free
load below the cap is given to the oldest buckets of the waiting queue first. The first bucket that does not
fit is admitted in part: each balancer receives a quota in proportion to its fraction of the clients a few
seconds ago. docs/design.md gives the reasons for this design.
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
CLIENT_COUNT_LAG_US = 4 * SECOND_US
"""Age of the client counts that quotas use. Gossip of that age has either arrived or been lost."""

CAP_CUT_FACTOR = 0.85  # at most once per feedback delay
CAP_RISE_FRACTION = 0.25  # per round, of the distance to the load that the servers can sustain
CAP_REMOVAL_RATIO = 4  # a cap above this multiple of the active load becomes NO_CAP
MIN_ROUND_ATTEMPTS = 4  # rounds with fewer attempts are not evaluated
MAX_DROPPED_FRACTION = 0.2  # of a round's attempts; if servers drop more, the fleet may be full
DROPPING_SERVERS_DIVISOR = 3  # the fleet is full if more than (warm servers / divisor) drop connections
SMALL_FLEET_SIZE = 3  # warm servers; in a smaller fleet, one server that drops connections is enough
DROP_OUTCOMES = frozenset((AttemptOutcome.FULL, AttemptOutcome.BROKEN))  # outcomes at an overloaded server


@dataclass(eq=False)
class AdmissionController:
    """Decides which requests are admitted, and keeps the cap on the active load and the quota of the round.

    Attributes:
        load_cap: upper bound on the active load of all balancers; `NO_CAP` if the load is not bounded.
        slow_start_load_cap: active load allowed in addition to `load_cap`, for servers that are warming up.
        quota: load that this balancer may still admit this round from `partial_bucket`, or from any client if
            every bucket fits into the free load.
        last_admitted_bucket: all clients of this bucket and of older buckets are admitted; `-NO_BUCKET` if
            none is.
        partial_bucket: the oldest bucket that does not fit into the free load; its clients are admitted while
            the quota lasts. `NO_BUCKET`, which is above all buckets, if every bucket fits.
        extra_buckets: number of buckets younger than `partial_bucket` that may use the quota too.
        may_admit_new_clients: clients are admitted without a quota, because no client waits and less than
            half of the cap is in use.
        has_rejected_young_bucket: a client was rejected this round because its bucket is younger than the
            buckets that may use the quota.
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
    last_admitted_bucket: int = field(init=False, default=-NO_BUCKET)
    partial_bucket: int = field(init=False, default=NO_BUCKET)
    may_admit_new_clients: bool = field(init=False, default=True)
    has_rejected_young_bucket: bool = field(init=False, default=False)
    extra_buckets: int = field(init=False, default=0)
    _cap_cut_at_us: int = field(init=False, default=NEVER_US)
    _load_admitted_outside_quota: float = field(init=False, default=0.0)
    _attempts: int = field(init=False, default=0)
    _dropped: int = field(init=False, default=0)
    _dropping_servers: set[str] = field(init=False, default_factory=set)

    @property
    def is_uncapped(self) -> bool:
        """Whether the active load is not bounded."""
        return self.load_cap == NO_CAP

    # -- admission of a request ----------------------------------------------------------------------

    def admit(self, request: RoutedRequest) -> bool:
        """Returns whether the request is admitted; otherwise its client joins the waiting queue."""
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
        """Returns whether the request belongs to a session that was already admitted.

        If the client has no open connection and the active load exceeds the cap, its session ends and it has
        to wait. Otherwise overloaded servers that drop hundreds of connections would stay overloaded, because
        all these clients would return at once.
        """
        if request.event.is_midstream:
            return True
        session = self.sessions.get(request.key)
        if session is None:
            return False
        if session.connections or self.gossip.total_active_load() <= self.load_cap + self.slow_start_load_cap:
            return True
        self.sessions.end(request.key)
        return False

    def _fits_cap(self, request: RoutedRequest, bucket: int, is_waiting: bool) -> bool:
        if self.may_admit_new_clients or (is_waiting and bucket <= self.last_admitted_bucket):
            self._load_admitted_outside_quota += request.load
            return True
        if bucket > self.partial_bucket + self.extra_buckets:
            self.has_rejected_young_bucket = True
            return False
        # A quota below the request's load admits the request with a probability of quota / load.
        is_admitted = self.quota >= request.load or self.rng.random() * request.load < self.quota
        if is_admitted:
            self.quota = max(0.0, self.quota - request.load)
        return is_admitted

    def _fits_warming_server(self, request: RoutedRequest) -> bool:
        """Returns whether a server that is warming up may receive the request in excess of the cap.

        The load of these servers is limited by their slow-start budgets, which would remain unused while the
        other servers are full. A server that became warm since the last round has no budget any more, and its
        load counts towards the cap.
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
        """Records a failed attempt or a broken connection. Returns whether the client keeps its session.

        Unless the connection was established long ago, it counts as dropped if the outcome shows overload.

        An overloaded server drops its newest connections. Their clients lose their sessions and have to wait,
        since they would otherwise return at once and be dropped again.
        """
        is_long_established = self.batch.now_us - attempt.sent_at_us > self.sessions.session_timeout_us
        keep_session = not request.server or is_long_established
        if attempt.outcome in DROP_OUTCOMES and not (request.server and keep_session):
            self._dropped += 1
            self._dropping_servers.add(attempt.server.server_id)
        return keep_session

    def record_new_peer(self, active_load: float) -> None:
        """Raises the cap by the load of a newly discovered balancer: its clients are admitted already."""
        self.load_cap += active_load

    # -- the cap, updated once a round ---------------------------------------------------------------

    def record_activity(self) -> None:
        """Records the present client count and active load, for comparison with later gossip and reports."""
        clients = len(self.sessions) + len(self.waiting_queue)
        self.history.record(clients, self.gossip.total_active_load())

    def update_cap(self) -> None:
        """Cuts the cap while the servers are full, at most once per feedback delay; otherwise raises it."""
        reachable = self.ejection.reachable_servers()
        # The cap follows from the warm servers only; slow-start budgets limit the load of the others.
        warm, self.slow_start.warming = self.index.split_by_warmth(reachable, self.slow_start.is_warm)
        self.capacity.update_membership(warm)
        self.capacity.update_fleet_load(warm, self.gossip.total_active_load())
        is_dropping = self._are_servers_dropping(len(warm))
        # Load reports describe the past, so they are compared with the active load of that time. Compared
        # with the present load, the cap would be cut again for clients that have left since, and raised again
        # for clients that were admitted since.
        sample = self.history.oldest_within(FEEDBACK_DELAY_US)
        past_load = sample.total_active_load if sample else self.gossip.total_active_load()
        sustainable_load = past_load * load_targets.TARGET_LOAD / self.loads.bounded_fleet_load
        self._update_slow_start_load_cap(past_load, len(warm))
        if self.loads.fleet_load > load_targets.HIGH_LOAD or is_dropping:
            self._cut_cap(past_load, sustainable_load)
        elif not self.is_uncapped:
            self._raise_cap(sustainable_load)

    def _are_servers_dropping(self, warm_count: int) -> bool:
        """Returns whether this round's attempts show that the servers are full, and resets the counts.

        A single server that fails also drops all its connections within a round. The fleet is considered full
        only if several servers drop connections, or one in a fleet below `SMALL_FLEET_SIZE`.
        """
        dropping_count = len(self._dropping_servers)
        are_several = dropping_count > 1 and DROPPING_SERVERS_DIVISOR * dropping_count > warm_count
        are_many_dropped = (
            self._attempts >= MIN_ROUND_ATTEMPTS and self._dropped > MAX_DROPPED_FRACTION * self._attempts
        )
        self._attempts = self._dropped = 0
        self._dropping_servers.clear()
        return are_many_dropped and (are_several or warm_count < SMALL_FLEET_SIZE)

    def _update_slow_start_load_cap(self, past_load: float, warm_count: int) -> None:
        """Sets the load allowed in addition to the cap: what warming servers may have received by now.

        The cap does not rise while the fleet is full, so restarted servers would otherwise remain empty.
        """
        filled = sum(self.slow_start.filled_fraction(server) for server in self.slow_start.warming)
        full_load = filled * load_targets.TARGET_LOAD * past_load
        self.slow_start_load_cap = full_load / self.loads.bounded_fleet_load / max(1, warm_count)

    def _cut_cap(self, past_load: float, sustainable_load: float) -> None:
        if self.batch.now_us - self._cap_cut_at_us < FEEDBACK_DELAY_US:
            return
        self._cap_cut_at_us = self.batch.now_us
        if self.loads.fleet_load > load_targets.HIGH_LOAD:
            self.load_cap = min(self.load_cap, max(past_load / 2, sustainable_load))
        else:
            self.load_cap = min(self.load_cap, self.gossip.total_active_load() * CAP_CUT_FACTOR)

    def _raise_cap(self, sustainable_load: float) -> None:
        self.load_cap += max(0.0, sustainable_load - self.load_cap) * CAP_RISE_FRACTION
        if self.load_cap > CAP_REMOVAL_RATIO * self.gossip.total_active_load():
            self.load_cap = NO_CAP

    # -- quotas, updated once a round ----------------------------------------------------------------

    def lagged_client_count(self) -> int:
        """Returns the number of clients that this balancer had `CLIENT_COUNT_LAG_US` ago."""
        sample = self.history.oldest_within(CLIENT_COUNT_LAG_US)
        return sample.clients if sample else 0

    def client_fraction(self) -> float | None:
        """Returns this balancer's fraction of all clients `CLIENT_COUNT_LAG_US` ago.

        It is None if this balancer had no clients, or if it has no gossip of the other balancers.
        """
        own = self.lagged_client_count()
        total = own + sum(peer.clients for peer in self.gossip.peers.values())
        return own / total if own and (self.gossip.peers or self.settings.balancers == 1) else None

    def update_quota(self) -> None:
        """Admits the oldest buckets that fit into the free load, and takes a quota of the remaining load.

        A bucket holds the clients that began to wait at about the same time, at any balancer. Example: the
        free load is 72, and loads of 2, 50 and 60 wait in three buckets, oldest first. All clients of the
        first two buckets are admitted. The remaining load of 20 is less than the third bucket needs, so that
        bucket is partial, and the balancers share the 20 in proportion to their fractions of the clients.
        """
        total_active_load = self.gossip.total_active_load()
        waiting_load = self.gossip.total_waiting_load()
        self.may_admit_new_clients = not waiting_load and total_active_load < self.load_cap / 2
        free_load = max(0.0, self.load_cap + self.slow_start_load_cap - total_active_load)
        client_fraction = self.client_fraction() or 1.0
        remaining_load = self._admit_oldest_buckets(waiting_load, free_load)
        if self.quota > 0 and self.has_rejected_young_bucket:
            # The clients of the partial bucket did not use up the quota, because they retry at other
            # balancers, while clients of younger buckets were rejected. Therefore more of the younger buckets
            # may use it.
            self.extra_buckets = min(2 * self.extra_buckets + 1, MAX_WAITING_CLIENTS)
        elif self.quota <= 0:
            self.extra_buckets = 0
        if self.has_rejected_young_bucket and free_load < NO_CAP:
            # Free load is reserved for the fully admitted buckets, but only some of their clients returned,
            # while other clients were rejected. The quota therefore covers all free load except what was
            # admitted outside the quota, if that is more.
            remaining_load = max(
                remaining_load, free_load - self._load_admitted_outside_quota / client_fraction
            )
        self.has_rejected_young_bucket = False
        self._load_admitted_outside_quota = 0.0
        self.quota = remaining_load * client_fraction

    def _admit_oldest_buckets(self, waiting_load: Mapping[int, float], free_load: float) -> float:
        """Admits the oldest buckets that fit into the free load. Returns the remaining free load."""
        self.last_admitted_bucket, self.partial_bucket = -NO_BUCKET, NO_BUCKET
        for bucket in sorted(waiting_load):
            if waiting_load[bucket] > free_load:
                self.partial_bucket = bucket
                break
            self.last_admitted_bucket = bucket
            free_load -= waiting_load[bucket]
        return free_load
