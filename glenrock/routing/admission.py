"""Which clients are admitted: a learned cap on active load, a quota of the free slots, and the waiting order.

All balancers share one cap; each keeps its own estimate. The free slots go to the oldest buckets of waiting
clients; the bucket that they do not fill is split by client shares of some seconds ago. Why: docs/design.md.
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
from .waiting_queue import MAX_WAITING, NO_BUCKET, WaitingQueue

NO_CAP = float("inf")
LAG_US = 4 * SECOND_US  # quotas are read this far back: every summary in between has arrived or is lost
CAP_CUT_FACTOR, CAP_RISE_FRACTION = (
    0.85,
    0.25,
)  # per feedback delay; per round, of the capacity that reports show
OPEN_CAP_RATIO = 4  # a cap above this multiple of the active load is lifted
MIN_ROUND_ATTEMPTS, MAX_DROPPED_FRACTION = (
    4,
    0.2,
)  # attempts of a round, and the part that servers drop when they are full
DROPPING_SERVERS_DIVISOR = 3  # one of so many servers drops connections: that is the fleet's trouble
FEW_SERVERS = 3
DROP_OUTCOMES = frozenset(
    (AttemptOutcome.FULL, AttemptOutcome.BROKEN)
)  # outcomes of attempts that a full server drops


@dataclass(eq=False)
class AdmissionController:
    """The learned cap and this round's quota.

    Attributes:
        load_cap: active load of the tier that is let in.
        slow_start_load_cap: active load beside it, for servers that are warming up.
        quota: load that the partial bucket, or newcomers if there is none, may still bring this round.
        last_open_bucket: buckets up to this one pass. `partial_bucket` passes in part.
        may_admit_newcomers: nobody waits, and there is room.
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
    has_rejected_newcomer: bool = field(init=False, default=False)
    extra_buckets: int = field(init=False, default=0)
    _cap_cut_us: int = field(init=False, default=NEVER_US)
    _claimed: float = field(init=False, default=0.0)
    _attempts: int = field(init=False, default=0)
    _dropped: int = field(init=False, default=0)
    _dropping_servers: set[str] = field(init=False, default_factory=set)

    @property
    def is_cap_open(self) -> bool:
        """Whether the cap keeps nobody out."""
        return self.load_cap == NO_CAP

    # -- a request -----------------------------------------------------------------------------------

    def admit(self, request: RoutedRequest) -> bool:
        """Whether the request is let in. If not, its client waits, and the request is to be rejected."""
        if self._continues_session(request):
            self.sessions.add_connection(request)
            return True
        client = self.waiting_queue.get(request.key)
        bucket = client.bucket if client else self.waiting_queue.current_bucket()
        admitted = self._passes(request, bucket, waits=client is not None)
        if not admitted and self._fits_warming_server(request):
            admitted = request.slow_start_only = True
        if admitted:
            self.waiting_queue.remove(request.key)
            self.sessions.add_connection(request)
        else:
            self.waiting_queue.add_rejected(request, bucket)
        return admitted

    def _continues_session(self, request: RoutedRequest) -> bool:
        """Whether its client is admitted already.

        When servers drop connections by the hundred, sessions that come straight back would keep them down.
        While more is active than the cap, a session that was cut off ends, and its client waits like anybody.
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

    def _passes(self, request: RoutedRequest, bucket: int, waits: bool) -> bool:
        if self.may_admit_newcomers or (waits and bucket <= self.last_open_bucket):
            self._claimed += request.load
            return True
        if bucket > self.partial_bucket + self.extra_buckets:
            self.has_rejected_newcomer = True
            return False
        # A quota smaller than one client passes it now and then.
        passes = self.quota >= request.load or self.rng.random() * request.load < self.quota
        if passes:
            self.quota = max(0.0, self.quota - request.load)
        return passes

    def _fits_warming_server(self, request: RoutedRequest) -> bool:
        """Beside the cap: slow-start budgets bind by themselves, and lie idle while others are full.

        A server that has warmed up since the last round has no budget that binds: it counts in the cap.
        """
        return any(
            not self.slow_start.is_warm(server) and self.ejection.may_receive(server, request.load)
            for server in self.slow_start.warming
        )

    # -- what attempts tell --------------------------------------------------------------------------

    def record_attempt(self) -> None:
        """An attempt went out."""
        self._attempts += 1

    def record_fault(self, request: RoutedRequest, attempt: Attempt) -> bool:
        """The attempt failed at its server. Returns whether the client keeps its session.

        A loaded server drops its newest connections; as sessions they would come straight back, to be
        dropped. So a drop soon after the start is a rejection: back to the waiting line.
        """
        stood_long = self.batch.now_us - attempt.sent_at_us > self.sessions.session_us
        keep_session = not request.server or stood_long
        if attempt.outcome in DROP_OUTCOMES and not (request.server and keep_session):
            self._dropped += 1
            self._dropping_servers.add(attempt.server.id)
        return keep_session

    def record_new_peer(self, active_load: float) -> None:
        """A balancer is heard of that was there before: what it holds has been let in."""
        self.load_cap += active_load

    # -- the cap, once a round -----------------------------------------------------------------------

    def record_activity(self) -> None:
        """Clients and load, for quotas and for the reports that tell of now later."""
        clients = len(self.sessions) + len(self.waiting_queue)
        self.history.record(clients, self.gossip.tier_load())

    def update_cap(self) -> None:
        """Follows the servers' load: cut once a feedback delay while they are full, raised each round."""
        in_reach = self.ejection.servers_in_reach()
        # Servers that are warming up are empty but may not be filled: their room is not the fleet's yet.
        warm, self.slow_start.warming = self.index.split_by_warmth(in_reach, self.slow_start.is_warm)
        self.capacity.follow_membership(warm)
        self.capacity.update_fleet_load(warm, self.gossip.tier_load())
        dropping = self._servers_drop_connections(len(warm))
        # Reports are late: set against the active load of now, they would cut what has left already, and let
        # in again what is on its way. So they are set against the active load of their own time.
        sample = self.history.oldest_within(FEEDBACK_DELAY_US)
        load_then = sample.tier_load if sample else self.gossip.tier_load()
        bearable = load_then * load_targets.TARGET_LOAD / self.capacity.bounded_fleet_load
        self._update_slow_start_cap(load_then, len(warm))
        if self.loads.fleet_load > load_targets.HIGH_LOAD or dropping:
            self._cut_cap(load_then, bearable)
        elif not self.is_cap_open:
            self._raise_cap(bearable)

    def _servers_drop_connections(self, warm: int) -> bool:
        """Whether this round's attempts show that the servers are full.

        One server that falls over drops all it held within a round. That is its own fault: only where
        several drop connections is the fleet full.
        """
        dropping = len(self._dropping_servers)
        several = dropping > 1 and DROPPING_SERVERS_DIVISOR * dropping > warm
        many = self._attempts >= MIN_ROUND_ATTEMPTS and self._dropped > MAX_DROPPED_FRACTION * self._attempts
        self._attempts = self._dropped = 0
        self._dropping_servers.clear()
        return many and (several or warm < FEW_SERVERS)

    def _update_slow_start_cap(self, load_then: float, warm: int) -> None:
        """What may have been brought to servers that are warming up by now counts beside the cap.

        A fleet that stays full keeps its cap, and would keep clients out of servers that came back empty.
        """
        filled = sum(self.slow_start.filled_fraction(server) for server in self.slow_start.warming)
        full_load = filled * load_targets.TARGET_LOAD * load_then
        self.slow_start_load_cap = full_load / self.capacity.bounded_fleet_load / max(1, warm)

    def _cut_cap(self, load_then: float, bearable: float) -> None:
        if self.batch.now_us - self._cap_cut_us < FEEDBACK_DELAY_US:
            return
        self._cap_cut_us = self.batch.now_us
        if self.loads.fleet_load > load_targets.HIGH_LOAD:
            self.load_cap = min(self.load_cap, max(load_then / 2, bearable))
        else:
            self.load_cap = min(self.load_cap, self.gossip.tier_load() * CAP_CUT_FACTOR)

    def _raise_cap(self, bearable: float) -> None:
        self.load_cap += max(0.0, bearable - self.load_cap) * CAP_RISE_FRACTION
        if self.load_cap > OPEN_CAP_RATIO * self.gossip.tier_load():
            self.load_cap = NO_CAP

    # -- quotas, once a round ------------------------------------------------------------------------

    def lagged_clients(self) -> int:
        """Clients seen here, as of the lag."""
        sample = self.history.oldest_within(LAG_US)
        return sample.clients if sample else 0

    def client_fraction(self) -> float | None:
        """This balancer's part of all clients seen, as of the lag; None without history."""
        own = self.lagged_clients()
        total = own + sum(peer.clients for peer in self.gossip.peers.values())
        return own / total if own and (self.gossip.peers or self.settings.balancers == 1) else None

    def update_quota(self) -> None:
        """Free slots go to the oldest buckets first; the one they do not fill is split by client shares."""
        tier_load = self.gossip.tier_load()
        waiting = self.gossip.tier_waiting_load()
        self.may_admit_newcomers = not waiting and tier_load < self.load_cap / 2
        slots = max(0.0, self.load_cap + self.slow_start_load_cap - tier_load)
        client_fraction = self.client_fraction() or 1.0  # no history: the plain cap
        free = self._open_oldest_buckets(waiting, slots)
        if self.quota > 0 and self.has_rejected_newcomer:
            # Clients come back at other balancers, and slots kept for their old buckets here stay empty. What
            # the oldest did not take goes to younger buckets, twice as many a round.
            self.extra_buckets = min(2 * self.extra_buckets + 1, MAX_WAITING)
        elif self.quota <= 0:
            self.extra_buckets = 0
        if self.has_rejected_newcomer and slots < NO_CAP:
            # The oldest pass beside the quota. With others kept out, they are kept what they claimed at most.
            free = max(free, slots - self._claimed / client_fraction)
        self.has_rejected_newcomer = False
        self._claimed = 0.0
        self.quota = free * client_fraction

    def _open_oldest_buckets(self, waiting: Mapping[int, float], slots: float) -> float:
        """Opens buckets as far as the slots go. Returns what is left for the first that does not fit."""
        self.last_open_bucket, self.partial_bucket = -NO_BUCKET, NO_BUCKET
        for bucket in sorted(waiting):
            if waiting[bucket] > slots:
                self.partial_bucket = bucket
                break
            self.last_open_bucket = bucket
            slots -= waiting[bucket]
        return slots
