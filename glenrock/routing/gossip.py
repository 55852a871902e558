"""Gossip: keeps the last summaries of the other balancers, and sends summaries of this one."""

from __future__ import annotations

import random
from collections.abc import Mapping

from . import gossip_codec
from .client_sessions import ClientSessions
from .connection_load import ConnectionLoads
from .event_batch import ROUND_US, SECOND_US, EventBatch, IgnoredSummary
from .interface import GossipReceived, SendGossip, Settings
from .load_estimation import ENOUGH_CONNECTIONS
from .state import Peer, WaitingLoad
from .token_budget import gossip_budget
from .waiting_queue import WaitingQueue

CALM_GOSSIP_INTERVAL_US = 5 * SECOND_US  # while no client waits
MAX_PEER_SILENCE_US = 3 * CALM_GOSSIP_INTERVAL_US
STAMP_US = SECOND_US // 10  # unit of a summary's stamp
MAX_STAMP_ADVANCE = 0x7FFF  # a larger advance of the wrapping counter is an old summary
MIN_JITTER = 0.9  # of an interval
JITTER_DIVISOR = 5  # of the random part that is added


class Gossip:
    """The last summaries of the other balancers.

    Attributes:
        peers: by index.
        next_us: earliest time of the next summary of this balancer.
        budget: tokens for the bytes of summaries.
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
        """Returns the known active load of all balancers."""
        return self._sessions.active_load + sum(peer.active_load for peer in self.peers.values())

    def tier_waiting_load(self) -> dict[int, float]:
        """Returns the known waiting load of all balancers, by bucket."""
        loads = self._waiting_queue.load_by_bucket()
        for peer in self.peers.values():
            for bucket, load in peer.waiting:
                loads[bucket] = loads.get(bucket, 0.0) + load
        return loads

    def forget_lost_peers(self) -> None:
        """Forgets silent balancers: the clients of a balancer that is gone reconnect to the others."""
        now_us = self._batch.now_us
        lost = [
            index for index, peer in self.peers.items() if now_us - peer.received_at_us > MAX_PEER_SILENCE_US
        ]
        for index in lost:
            del self.peers[index]

    def receive(self, event: GossipReceived) -> Peer | None:
        """Handles a summary. Returns the peer if it was not known before; an invalid summary is ignored."""
        if event.peer_index == self._settings.index:
            return None
        decoded = gossip_codec.decode(event.data)
        try:
            summary = gossip_codec.check_summary(
                event.peer_index, self._settings.balancers, decoded, self._tenant_load()
            )
        except gossip_codec.InvalidSummaryError as error:
            self._batch.ignored_summaries.append(IgnoredSummary(event.peer_index, str(error)))
            return None
        known = self.peers.get(event.peer_index)
        if known and not 0 < (summary.stamp - known.stamp & gossip_codec.MAX_STAMP) <= MAX_STAMP_ADVANCE:
            return None  # delayed or duplicated
        bucket = self._waiting_queue.current_bucket()
        waiting = [WaitingLoad(bucket - age, load) for age, load in summary.waiting]
        peer = Peer(summary.stamp, self._batch.now_us, summary.active_load, summary.clients, waiting)
        self.peers[event.peer_index] = peer
        return None if known else peer

    def _tenant_load(self) -> float:
        """Returns the load of all connections that tenants may hold; 0 while few loads are known."""
        if len(self._sessions) < ENOUGH_CONNECTIONS:
            return 0.0
        quota = sum(tenant.connections for tenant in self._settings.tenants)
        return self._connection_loads.mean_load * quota

    def send_at_next_round(self) -> None:
        """Makes the next summary due now, after a change that the other balancers need to know."""
        self.next_us = self._batch.now_us

    def send_if_due(self, clients: int, is_cap_open: bool, is_balancer_draining: bool) -> None:
        """Sends a summary if it is due and the budget allows.

        Args:
            clients: number of clients seen here, `LAG_US` ago.
            is_cap_open: the cap does not bind.
            is_balancer_draining: this balancer migrates its clients; the others divide its quota meanwhile.
        """
        settings, now_us = self._settings, self._batch.now_us
        if not settings.may_gossip or settings.balancers <= 1 or now_us < self.next_us:
            return
        waiting = _ages(self._waiting_queue.load_by_bucket(), self._waiting_queue.current_bucket())
        stamp = now_us // STAMP_US & gossip_codec.MAX_STAMP
        shared_clients = 0 if is_balancer_draining else clients
        data = gossip_codec.encode(stamp, self._sessions.active_load, shared_clients, waiting)
        cost = len(data) * (settings.balancers - 1)
        if not self.budget.try_spend(cost):
            return
        # While no client waits, quotas need few summaries, and tokens are saved for times of scarcity.
        is_calm = not waiting and is_cap_open
        interval_us = 2 * ROUND_US
        if is_balancer_draining:
            interval_us = ROUND_US // 2
        elif is_calm:
            interval_us = CALM_GOSSIP_INTERVAL_US
        self.next_us = now_us + int(interval_us * (MIN_JITTER + self._rng.random() / JITTER_DIVISOR))
        self._batch.emit(SendGossip(data))


def _ages(load_by_bucket: Mapping[int, float], current: int) -> list[gossip_codec.AgedLoad]:
    return [
        gossip_codec.AgedLoad(current - bucket, load)
        for bucket, load in sorted(load_by_bucket.items(), reverse=True)
    ]
