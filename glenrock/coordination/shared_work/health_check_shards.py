"""Health checks by shards: each server is asked by one balancer, and its load goes to the rest.

Pure. A server's shard is the first of those heard lately, in its rendezvous order. Two that believe they have one ask
it twice, and nobody does where the one who has it is cut off: so there is no term here, and where no load is fresh a
balancer asks as without shards. Only loads are told: who can't reach a server must find out alone, a link may be cut
for one. Times are microseconds.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from math import log
from typing import NamedTuple

from glenrock.routing.load_estimation import FRESH_REPORT_US

from ..membership import Membership, preferred_member, stable_hash

CHECK_INTERVAL_US = FRESH_REPORT_US * 4 // 5  # before the last one is stale; one that is lost costs a health check
LOAD_ENTRY = struct.Struct(">I")  # three bytes of the server's name hashed, and its load
CODE_BITS, STEP_BITS = 24, 8
ENTRIES_PER_DATAGRAM = 60  # of 256 bytes
STEP_FACTOR, SMALLEST_LOAD = 1.025, 0.01  # loads are told in steps of 2.5%: reports are noisier
MAX_STEP = (1 << STEP_BITS) - 1


class ReceivedLoad(NamedTuple):
    """A server's load as another balancer told it."""

    server: str
    load: float


class _Heard(NamedTuple):
    at_us: int
    load: float


def step_of(load: float) -> int:
    """The step of a load; 0 is none."""
    if load < SMALLEST_LOAD / 2:
        return 0
    return max(0, min(MAX_STEP, 1 + round(log(load / SMALLEST_LOAD) / log(STEP_FACTOR))))


def load_of(step: int) -> float:
    """The load of a step."""
    return SMALLEST_LOAD * STEP_FACTOR ** (step - 1) if step else 0.0


def server_code(name: str) -> int:
    """The part of a server's hash that datagrams name it by."""
    return stable_hash(name) & ((1 << CODE_BITS) - 1)


class HealthCheckShards:
    """Servers, which of them this balancer asks, and what the others told."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self._servers: dict[str, int] = {}  # listed, by name: their codes
        self._names: dict[int, str] = {}  # by code; two of one code are not told
        self._asked_us: dict[str, int] = {}  # own, when last
        self._heard: dict[str, _Heard] = {}
        self._to_tell: dict[str, float] = {}
        self._members: list[int] = []
        self._own: list[str] = []

    def update_servers(self, names: Iterable[str]) -> None:
        """Servers that are listed and warm.

        Of one that just started all would hear in the same instant that it is empty, and what they bring together
        pushes it over (simulation, 1 of 24 lost zones): each asks it by itself.
        """
        names = set(names)
        if names == self._servers.keys():
            return
        self._servers = {name: server_code(name) for name in names}
        self._names = _unique_codes(self._servers)
        self._members = []
        self._asked_us = {name: at_us for name, at_us in self._asked_us.items() if name in names}
        self._heard = {name: heard for name, heard in self._heard.items() if name in names}
        self._to_tell = {name: load for name, load in self._to_tell.items() if name in names}

    def own_servers(self, now_us: int) -> list[str]:
        """Servers of this balancer's shard."""
        members = list(self.membership.members(now_us))
        if members != self._members:
            me = self.membership.me
            self._own = [name for name in self._servers if preferred_member(name, members) == me]
            self._members = members
        return self._own

    def start_due_checks(self, now_us: int) -> list[str]:
        """Servers of this balancer's shard that are to be asked now; they count as asked."""
        latest_us = now_us - CHECK_INTERVAL_US
        due = [name for name in self.own_servers(now_us) if self._asked_us.get(name, -CHECK_INTERVAL_US) <= latest_us]
        self._asked_us.update(dict.fromkeys(due, now_us))
        return due

    def fresh_load(self, server: str, now_us: int) -> float | None:
        """The load that another told and that counts as the present; None where the server must be asked."""
        heard = self._heard.get(server)
        return heard.load if heard and now_us - heard.at_us < FRESH_REPORT_US else None

    def load_age_us(self, server: str, now_us: int) -> int:
        """How old the load is that another told. KeyError where none did."""
        return now_us - self._heard[server].at_us

    def record_result(self, server: str, load: float | None, now_us: int) -> None:
        """An answer to a health check of ours, whoever wanted it."""
        if load is not None and load >= 0 and server in self._servers:
            self._asked_us[server] = now_us
            self._to_tell[server] = load

    def pop_datagrams(self) -> list[bytes]:
        """What has been learned since the last call, for all others."""
        entries = [
            LOAD_ENTRY.pack(self._servers[name] << STEP_BITS | step_of(load))
            for name, load in self._to_tell.items()
            if self._names.get(self._servers[name]) == name
        ]
        self._to_tell.clear()
        return [
            b"".join(entries[at : at + ENTRIES_PER_DATAGRAM]) for at in range(0, len(entries), ENTRIES_PER_DATAGRAM)
        ]

    def receive(self, data: bytes, now_us: int) -> list[ReceivedLoad] | None:
        """Loads that another told; None for data that are none. Servers that are not known here are passed over."""
        if not data or len(data) % LOAD_ENTRY.size:
            return None
        loads = []
        for (entry,) in LOAD_ENTRY.iter_unpack(data):
            name = self._names.get(entry >> STEP_BITS)
            load = load_of(entry & MAX_STEP)
            if name is not None:
                self._heard[name] = _Heard(now_us, load)
                loads.append(ReceivedLoad(name, load))
        return loads


def _unique_codes(codes: dict[str, int]) -> dict[int, str]:
    """Names by their codes, less those that share one."""
    names: dict[int, list[str]] = {}
    for name, code in codes.items():
        names.setdefault(code, []).append(name)
    return {code: found[0] for code, found in names.items() if len(found) == 1}
