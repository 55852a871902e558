"""Summaries between balancers: what the others told last, and when this one tells again."""

from __future__ import annotations

import random
from collections.abc import Mapping

from . import gossip_codec
from .client_sessions import ClientSessions
from .connection_load import ConnectionLoads
from .event_batch import ROUND_US, SECOND_US, EventBatch
from .interface import GossipReceived, SendGossip, Settings
from .load_estimation import ENOUGH_CONNECTIONS
from .state import Peer, WaitingLoad
from .token_budget import gossip_budget
from .waiting_queue import WaitingQueue

IDLE_GOSSIP_INTERVAL_US = 5 * SECOND_US  # while there is room; twice a round while there is none
PEER_LOST_AFTER_US = 3 * IDLE_GOSSIP_INTERVAL_US
STAMP_US = SECOND_US // 10  # unit of a summary's stamp
MAX_STAMP_ADVANCE = 0x7FFF  # stamps ahead of the last one that count as newer: the counter wraps
MIN_JITTER, JITTER_PARTS = 0.9, 5  # an interval is stretched by 0.9 and a fifth of a random part


class Gossip:
    """The other balancers, by their numbers, as of their last summaries.

    Attributes:
        peers: by number.
        next_us: this balancer tells again from then on.
    """

    def __init__(
        self,
        batch: EventBatch,
        settings: Settings,
        rng: random.Random,
        sessions: ClientSessions,
        waiting_queue: WaitingQueue,
        connection_loads: ConnectionLoads,
    ) -> None:
        self._batch = batch
        self._settings = settings
        self._rng = rng
        self._sessions = sessions
        self._waiting_queue = waiting_queue
        self._connection_loads = connection_loads
        self.peers: dict[int, Peer] = {}
        self.next_us = 0
        self.budget = gossip_budget(settings)

    def tier_load(self) -> float:
        """Active load of all balancers, as far as it is known."""
        return self._sessions.active_load + sum(peer.active_load for peer in self.peers.values())

    def tier_waiting_load(self) -> dict[int, float]:
        """Load that waits at all balancers, by bucket."""
        loads = self._waiting_queue.load_by_bucket()
        for peer in self.peers.values():
            for bucket, load in peer.waiting:
                loads[bucket] = loads.get(bucket, 0.0) + load
        return loads

    def forget_lost_peers(self) -> None:
        """A balancer that has gone: its clients come to the others, whose slots must not stay hidden."""
        now_us = self._batch.now_us
        lost = [n for n, peer in self.peers.items() if now_us - peer.heard_us > PEER_LOST_AFTER_US]
        for number in lost:
            del self.peers[number]

    def receive(self, event: GossipReceived) -> Peer | None:
        """Takes a summary in. Returns the peer where it was not known before."""
        if event.peer == self._settings.index:
            return None
        summary = gossip_codec.decode(event.data)
        if wrong := gossip_codec.fault(event.peer, self._settings.balancers, summary, self._tenant_load()):
            self._batch.warnings.append(wrong)
            return None
        assert summary is not None, "fault() tells of what cannot be read"
        known = self.peers.get(event.peer)
        if known and not 0 < (summary.stamp - known.stamp & gossip_codec.MAX_STAMP) <= MAX_STAMP_ADVANCE:
            return None  # late or doubled
        bucket = self._waiting_queue.current_bucket()
        waiting = [WaitingLoad(bucket - age, load) for age, load in summary.waiting]
        peer = Peer(summary.stamp, self._batch.now_us, summary.active_load, summary.clients, waiting)
        self.peers[event.peer] = peer
        return None if known else peer

    def _tenant_load(self) -> float:
        """Load of all that tenants may hold, once a few connections have told what one is; 0 before."""
        if len(self._sessions) < ENOUGH_CONNECTIONS:
            return 0.0
        quota = sum(tenant.connections for tenant in self._settings.tenants)
        return self._connection_loads.mean_load * quota

    def send_if_due(self, clients: int, is_cap_open: bool, is_draining: bool) -> None:
        """Tells the others, where it is time and the budget allows.

        Args:
            clients: seen here, as of the lag.
            is_cap_open: nobody is kept out by the cap.
            is_draining: this balancer sends its clients away; its part of the slots is the others' meanwhile.
        """
        settings, now_us = self._settings, self._batch.now_us
        if not settings.may_gossip or settings.balancers <= 1 or now_us < self.next_us:
            return
        waiting = _ages(self._waiting_queue.load_by_bucket(), self._waiting_queue.current_bucket())
        stamp = now_us // STAMP_US & gossip_codec.MAX_STAMP
        told_clients = 0 if is_draining else clients
        data = gossip_codec.encode(stamp, self._sessions.active_load, told_clients, waiting)
        cost = len(data) * (settings.balancers - 1)
        if not self.budget.try_spend(cost):
            return
        # While nobody waits the quotas need little news, and what is saved then pays for scarcity.
        calm = not waiting and is_cap_open
        interval_us = ROUND_US // 2 if is_draining else IDLE_GOSSIP_INTERVAL_US if calm else 2 * ROUND_US
        self.next_us = now_us + int(interval_us * (MIN_JITTER + self._rng.random() / JITTER_PARTS))
        self._batch.emit(SendGossip(data))


def _ages(load_by_bucket: Mapping[int, float], current: int) -> list[WaitingLoad]:
    return [
        WaitingLoad(current - bucket, load) for bucket, load in sorted(load_by_bucket.items(), reverse=True)
    ]
