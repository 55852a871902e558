"""Sharded health checks: each server is checked by one balancer, which shares the load with the others.

Pure. Times are whole microseconds. A server belongs to the shard of the first live member in its rendezvous order.
Without a lease two balancers may check a server twice, or none may, where the member that owns the shard is
partitioned; a balancer without a fresh load therefore checks the server itself. Loads alone are shared, not failures:
each balancer must find out by itself which servers it cannot reach.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from math import log
from typing import NamedTuple

from glenrock.routing.load_estimation import FRESH_REPORT_US

from ..membership import Membership, preferred_member, stable_hash

CHECK_INTERVAL_US = FRESH_REPORT_US * 4 // 5  # a result arrives before the last one is stale
LOAD_ENTRY = struct.Struct(">I")  # the server's code in the upper bits, the load's step in the lower ones
CODE_BITS = 24
STEP_BITS = 8
MAX_ENTRIES_PER_DATAGRAM = 60
STEP_FACTOR = 1.025  # between the loads of two steps
SMALLEST_LOAD = 0.01
MAX_STEP = (1 << STEP_BITS) - 1


class ReceivedLoad(NamedTuple):
    """The load of a server, as another balancer shared it."""

    server: str
    load: float


class _TimedLoad(NamedTuple):
    """A load, and when it was received."""

    received_us: int
    load: float


def step_of(load: float) -> int:
    """Returns the step that encodes a load; 0 encodes no load."""
    if load < SMALLEST_LOAD / 2:
        return 0
    return max(0, min(MAX_STEP, 1 + round(log(load / SMALLEST_LOAD) / log(STEP_FACTOR))))


def load_of(step: int) -> float:
    """Returns the load that a step encodes."""
    return SMALLEST_LOAD * STEP_FACTOR ** (step - 1) if step else 0.0


def server_code(name: str) -> int:
    """Returns the part of a server's hash that identifies it in datagrams."""
    return stable_hash(name) & ((1 << CODE_BITS) - 1)


class HealthCheckShards:
    """The servers, this balancer's shard of them, and the loads that other balancers shared.

    Attributes:
        membership: the members among which the servers are distributed.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self._codes: dict[str, int] = {}  # by server
        self._names: dict[int, str] = {}  # by code; servers with the same code are not shared
        self._checked_us: dict[str, int] = {}  # by server of this shard, the last check
        self._received: dict[str, _TimedLoad] = {}
        self._unshared: dict[str, float] = {}  # loads that the next datagrams share
        self._members: list[int] = []
        self._own: list[str] = []

    def update_servers(self, names: Iterable[str]) -> None:
        """Sets the servers that are listed and no longer warming up.

        A server that is warming up is checked by each balancer itself. Shared, its first low load would reach all
        balancers at once, and together they would overload the server.
        """
        names = set(names)
        if names == self._codes.keys():
            return
        self._codes = {name: server_code(name) for name in names}
        self._names = _unique_codes(self._codes)
        self._members = []
        self._checked_us = {name: at_us for name, at_us in self._checked_us.items() if name in names}
        self._received = {name: load for name, load in self._received.items() if name in names}
        self._unshared = {name: load for name, load in self._unshared.items() if name in names}

    def own_servers(self, now_us: int) -> list[str]:
        """Returns the servers of this balancer's shard."""
        members = list(self.membership.members(now_us))
        if members != self._members:
            me = self.membership.me
            self._own = [name for name in self._codes if preferred_member(name, members) == me]
            self._members = members
        return self._own

    def start_due_checks(self, now_us: int) -> list[str]:
        """Returns the servers of this balancer's shard that are due for a check, and counts them as checked."""
        latest_us = now_us - CHECK_INTERVAL_US
        never_us = -CHECK_INTERVAL_US
        due = [name for name in self.own_servers(now_us) if self._checked_us.get(name, never_us) <= latest_us]
        self._checked_us.update(dict.fromkeys(due, now_us))
        return due

    def fresh_load(self, server: str, now_us: int) -> float | None:
        """Returns the load that another balancer shared; None if it is stale or missing."""
        received = self._received.get(server)
        return received.load if received and now_us - received.received_us < FRESH_REPORT_US else None

    def load_age_us(self, server: str, now_us: int) -> int:
        """Returns the age of the load that another balancer shared. Raises KeyError if there is none."""
        return now_us - self._received[server].received_us

    def record_result(self, server: str, load: float | None, now_us: int) -> None:
        """Records the load in the result of a health check made by this balancer."""
        if load is not None and load >= 0 and server in self._codes:
            self._checked_us[server] = now_us
            self._unshared[server] = load

    def pop_datagrams(self) -> list[bytes]:
        """Returns the loads recorded since the last call, as the data of datagrams for all peers."""
        entries = [
            LOAD_ENTRY.pack(self._codes[name] << STEP_BITS | step_of(load))
            for name, load in self._unshared.items()
            if self._names.get(self._codes[name]) == name
        ]
        self._unshared.clear()
        starts = range(0, len(entries), MAX_ENTRIES_PER_DATAGRAM)
        return [b"".join(entries[start : start + MAX_ENTRIES_PER_DATAGRAM]) for start in starts]

    def receive(self, data: bytes, now_us: int) -> list[ReceivedLoad] | None:
        """Records the loads in a datagram, and returns those of known servers; None if the data are malformed."""
        if not data or len(data) % LOAD_ENTRY.size:
            return None
        loads = []
        for (entry,) in LOAD_ENTRY.iter_unpack(data):
            name = self._names.get(entry >> STEP_BITS)
            load = load_of(entry & MAX_STEP)
            if name is not None:
                self._received[name] = _TimedLoad(now_us, load)
                loads.append(ReceivedLoad(name, load))
        return loads


def _unique_codes(codes: dict[str, int]) -> dict[int, str]:
    """Returns the servers by code, without those that share a code."""
    names: dict[int, list[str]] = {}
    for name, code in codes.items():
        names.setdefault(code, []).append(name)
    return {code: found[0] for code, found in names.items() if len(found) == 1}
