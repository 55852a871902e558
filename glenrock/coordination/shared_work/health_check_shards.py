"""Sharded health checks: each server is checked by one balancer, which shares the load with the others.

Pure. Times are whole microseconds. A server belongs to the shard of the first live member in the server's rendezvous
order (see `membership`).

No lease protects a shard. If balancers disagree about which members are alive, two of them may check the same server,
or none may, for example because the member that owns the shard is partitioned. A balancer without a fresh load
therefore checks the server itself. Only loads are shared, not failures, since each balancer must find out by itself
which servers it cannot reach.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from math import log
from typing import NamedTuple, TypeVar

from glenrock.routing.load_estimation import FRESH_REPORT_US

from ..membership import Membership, preferred_member, stable_hash

T = TypeVar("T")

CHECK_INTERVAL_US = FRESH_REPORT_US * 4 // 5  # so that a result arrives before the previous one is stale
LOAD_ENTRY = struct.Struct(">I")  # the server's code in the upper CODE_BITS, the load's step in the lower STEP_BITS
CODE_BITS = 24
STEP_BITS = 8
MAX_ENTRIES_PER_DATAGRAM = 60
STEP_FACTOR = 1.025  # ratio of the loads of two successive steps; the noise of load reports is larger
SMALLEST_LOAD = 0.01  # the load of step 1
MAX_STEP = (1 << STEP_BITS) - 1


class ReceivedLoad(NamedTuple):
    """The load of a server, received from another balancer."""

    server_id: str
    load: float


class _TimedLoad(NamedTuple):
    """A load received from another balancer, and when it was received."""

    received_us: int
    load: float


def encode_load(load: float) -> int:
    """Returns the step on a logarithmic scale that is closest to a load; step 0 is a load of 0."""
    if load < SMALLEST_LOAD / 2:
        return 0
    return max(0, min(MAX_STEP, 1 + round(log(load / SMALLEST_LOAD) / log(STEP_FACTOR))))


def decode_load(step: int) -> float:
    """Returns the load of a step."""
    return SMALLEST_LOAD * STEP_FACTOR ** (step - 1) if step else 0.0


def server_code(server_id: str) -> int:
    """Returns the part of a server's hash that identifies the server in datagrams."""
    return stable_hash(server_id) & ((1 << CODE_BITS) - 1)


class HealthCheckShards:
    """The servers, this balancer's shard of them, and the loads received from other balancers.

    Attributes:
        membership: the members among which the servers are distributed.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self._codes: dict[str, int] = {}  # by server
        self._server_ids: dict[
            int, str
        ] = {}  # by code, without servers that have the same code: their loads are not shared
        self._checked_us: dict[str, int] = {}  # by server, when this balancer last checked it
        self._received: dict[str, _TimedLoad] = {}
        self._unshared: dict[str, float] = {}  # by server, the load to send in the next datagrams
        self._members: list[int] = []  # the live members for which `_own_server_ids` was computed
        self._own_server_ids: list[str] = []

    def update_servers(self, server_ids: Iterable[str]) -> None:
        """Sets the servers whose checks are shared: those that are listed and no longer warming up.

        Each balancer checks a server that is warming up by itself. If the server's first low load were shared, it would
        reach all balancers at once, and together they would overload the server.
        """
        server_ids = set(server_ids)
        if server_ids == self._codes.keys():
            return
        # Sorted, because the order of a set of strings, and so the order of checks, depends on PYTHONHASHSEED.
        self._codes = {server_id: server_code(server_id) for server_id in sorted(server_ids)}
        self._server_ids = _unique_codes(self._codes)
        self._members = []
        self._checked_us = _of_servers(server_ids, self._checked_us)
        self._received = _of_servers(server_ids, self._received)
        self._unshared = _of_servers(server_ids, self._unshared)

    def own_servers(self, now_us: int) -> list[str]:
        """Returns the servers of this balancer's shard."""
        members = list(self.membership.members(now_us))
        if members != self._members:
            me = self.membership.me
            self._own_server_ids = [
                server_id for server_id in self._codes if preferred_member(server_id, members) == me
            ]
            self._members = members
        return self._own_server_ids

    def start_due_checks(self, now_us: int) -> list[str]:
        """Returns the servers of this balancer's shard that are due for a check, and records them as checked now."""
        latest_us = now_us - CHECK_INTERVAL_US
        never_us = -CHECK_INTERVAL_US
        own = self.own_servers(now_us)
        due = [server_id for server_id in own if self._checked_us.get(server_id, never_us) <= latest_us]
        self._checked_us.update(dict.fromkeys(due, now_us))
        return due

    def fresh_load(self, server_id: str, now_us: int) -> float | None:
        """Returns the last load received for a server; None if it is stale or missing."""
        received = self._received.get(server_id)
        return received.load if received and now_us - received.received_us < FRESH_REPORT_US else None

    def load_age_us(self, server_id: str, now_us: int) -> int:
        """Returns the age of the last load received for a server. Raises KeyError if there is none."""
        return now_us - self._received[server_id].received_us

    def record_result(self, server_id: str, load: float | None, now_us: int) -> None:
        """Records the load in the result of a health check by this balancer, to be shared with the peers.

        A load that is missing or negative, and the load of a server whose checks are not shared, are ignored.
        """
        if load is not None and load >= 0 and server_id in self._codes:
            self._checked_us[server_id] = now_us
            self._unshared[server_id] = load

    def pop_datagrams(self) -> list[bytes]:
        """Returns the loads recorded since the last call, encoded as the data of datagrams for all peers."""
        entries = [
            LOAD_ENTRY.pack(self._codes[server_id] << STEP_BITS | encode_load(load))
            for server_id, load in self._unshared.items()
            if self._server_ids.get(self._codes[server_id]) == server_id
        ]
        self._unshared.clear()
        starts = range(0, len(entries), MAX_ENTRIES_PER_DATAGRAM)
        return [b"".join(entries[start : start + MAX_ENTRIES_PER_DATAGRAM]) for start in starts]

    def receive(self, data: bytes, now_us: int) -> list[ReceivedLoad] | None:
        """Records the loads of known servers in a datagram, and returns them; None if the data are malformed."""
        if not data or len(data) % LOAD_ENTRY.size:
            return None
        loads = []
        for (entry,) in LOAD_ENTRY.iter_unpack(data):
            server_id = self._server_ids.get(entry >> STEP_BITS)
            load = decode_load(entry & MAX_STEP)
            if server_id is not None:
                self._received[server_id] = _TimedLoad(now_us, load)
                loads.append(ReceivedLoad(server_id, load))
        return loads


def _of_servers(server_ids: set[str], values: dict[str, T]) -> dict[str, T]:
    """Returns the values of these servers."""
    return {server_id: value for server_id, value in values.items() if server_id in server_ids}


def _unique_codes(codes: dict[str, int]) -> dict[int, str]:
    """Returns the servers by code, without servers whose code is not unique."""
    by_code: dict[int, list[str]] = {}
    for server_id, code in codes.items():
        by_code.setdefault(code, []).append(server_id)
    return {code: server_ids[0] for code, server_ids in by_code.items() if len(server_ids) == 1}
