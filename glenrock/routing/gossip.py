"""Gossip: keeps the latest summary of each other balancer, and sends summaries of this one."""

from __future__ import annotations

import random
from collections.abc import Mapping

from . import gossip_codec
from .client_sessions import ClientSessions
from .connection_load import ConnectionLoads
from .event_batch import ROUND_US, SECOND_US, EventBatch, IgnoredSummary
from .interface import GossipReceived, SendGossip, Settings
from .load_estimation import MIN_REPRESENTATIVE_CONNECTIONS
from .state import Peer, WaitingLoad
from .token_budget import gossip_budget
from .waiting_queue import WaitingQueue

IDLE_GOSSIP_INTERVAL_US = 5 * SECOND_US  # while no client waits and the load is not capped
MAX_PEER_SILENCE_US = 3 * IDLE_GOSSIP_INTERVAL_US  # a balancer that is silent for longer is forgotten
STAMP_UNIT_US = SECOND_US // 10  # time unit of a summary's stamp
MAX_STAMP_ADVANCE = 0x7FFF  # the stamp counter wraps; a larger advance means that the summary is old
MIN_JITTER = 0.9  # of the interval
JITTER_DIVISOR = 5  # a random part of up to 1 / 5 of the interval is added


class Gossip:
    """Keeps the latest summaries of the other balancers, and sends those of this one.

    Attributes:
        peers: the latest summary of each known other balancer, by index.
        next_send_at_us: earliest time at which this balancer sends its next summary.
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
        self.next_send_at_us = 0
        self.budget = gossip_budget(settings)

    def total_active_load(self) -> float:
        """Returns the active load of all balancers, as far as it is known."""
        return self._sessions.active_load + sum(peer.active_load for peer in self.peers.values())

    def total_waiting_load(self) -> dict[int, float]:
        """Returns the waiting load of all balancers by bucket, as far as it is known."""
        loads = self._waiting_queue.load_by_bucket()
        for peer in self.peers.values():
            for bucket, load in peer.waiting:
                loads[bucket] = loads.get(bucket, 0.0) + load
        return loads

    def forget_lost_peers(self) -> None:
        """Forgets balancers that were silent for too long.

        The clients of a balancer that is gone reconnect to the others, and would be counted twice.
        """
        now_us = self._batch.now_us
        lost = [
            index for index, peer in self.peers.items() if now_us - peer.received_at_us > MAX_PEER_SILENCE_US
        ]
        for index in lost:
            del self.peers[index]

    def receive(self, event: GossipReceived) -> Peer | None:
        """Handles a summary, and returns the peer if it was not known before.

        Ignores a summary that is this balancer's own, invalid, or not newer than the last one.
        """
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
            return None  # a delayed or duplicate summary
        bucket = self._waiting_queue.current_bucket()
        waiting = [WaitingLoad(bucket - age, load) for age, load in summary.waiting]
        peer = Peer(summary.stamp, self._batch.now_us, summary.active_load, summary.clients, waiting)
        self.peers[event.peer_index] = peer
        return None if known else peer

    def _tenant_load(self) -> float:
        """Returns the load of all connections that tenants may hold; 0 while their mean load is uncertain."""
        if len(self._sessions) < MIN_REPRESENTATIVE_CONNECTIONS:
            return 0.0
        quota = sum(tenant.connections for tenant in self._settings.tenants)
        return self._connection_loads.mean_load * quota

    def send_at_next_round(self) -> None:
        """Makes the next summary due now, after a change that the other balancers need to know soon."""
        self.next_send_at_us = self._batch.now_us

    def send_if_due(self, clients: int, is_uncapped: bool, is_balancer_draining: bool) -> None:
        """Sends a summary if it is due and the budget allows.

        Args:
            clients: number of clients that this balancer had `CLIENT_COUNT_LAG_US` ago.
            is_uncapped: whether the active load is not bounded by the admission cap.
            is_balancer_draining: whether this balancer migrates its clients to the others. It then announces
                no clients, so that the others divide its quota.
        """
        settings, now_us = self._settings, self._batch.now_us
        if not settings.may_gossip or settings.balancers <= 1 or now_us < self.next_send_at_us:
            return
        waiting = _aged_loads(self._waiting_queue.load_by_bucket(), self._waiting_queue.current_bucket())
        stamp = now_us // STAMP_UNIT_US & gossip_codec.MAX_STAMP
        announced_clients = 0 if is_balancer_draining else clients
        data = gossip_codec.encode(stamp, self._sessions.active_load, announced_clients, waiting)
        cost = len(data) * (settings.balancers - 1)
        if not self.budget.try_spend(cost):
            return
        # While no client waits, quotas need few summaries, and tokens are saved for when capacity is scarce.
        is_idle = not waiting and is_uncapped
        interval_us = 2 * ROUND_US
        if is_balancer_draining:
            interval_us = ROUND_US // 2
        elif is_idle:
            interval_us = IDLE_GOSSIP_INTERVAL_US
        self.next_send_at_us = now_us + int(interval_us * (MIN_JITTER + self._rng.random() / JITTER_DIVISOR))
        self._batch.emit(SendGossip(data))


def _aged_loads(load_by_bucket: Mapping[int, float], current: int) -> list[gossip_codec.AgedLoad]:
    """Returns the waiting loads with the ages of their buckets, youngest first."""
    return [
        gossip_codec.AgedLoad(current - bucket, load)
        for bucket, load in sorted(load_by_bucket.items(), reverse=True)
    ]
