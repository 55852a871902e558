"""Probe shards: each server is probed by one balancer, and its word goes to the rest. Pure.

The share of a server is the first of those heard lately, in its rendezvous order. Two that believe they have one
probe it twice, and nobody where the one who has it is cut off: so there is no term here, and where no word is fresh a
balancer probes as without shards. Only loads are told: who can't reach a server must find out alone, a link may be
cut for one.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from math import log

from glenrock.routing.load_estimation import FRESH_REPORT_US

from ..roster import Roster, first, hashed

EVERY_US = FRESH_REPORT_US * 4 // 5  # before the word before it is stale; one that is lost costs a probe
ONE = struct.Struct(">I")  # three bytes of the server's name hashed, and its load
IN_ONE = 60  # words in a datagram of 256 bytes
STEP, LEAST = 1.025, 0.01  # loads are told in steps of 2.5%: reports are noisier
MOST_STEP = 255


def stepped(load: float) -> int:
    return max(0, min(MOST_STEP, 1 + round(log(load / LEAST) / log(STEP)))) if load >= LEAST / 2 else 0


def load_of(step: int) -> float:
    return LEAST * STEP ** (step - 1) if step else 0.0


def code_of(name: str) -> int:
    return hashed(name) & 0xFFFFFF


class Shards:
    def __init__(self, roster: Roster) -> None:
        self.roster = roster
        self.codes: dict[int, str] = {}  # of servers that are listed; two of one code are not told
        self.servers: dict[str, int] = {}
        self.asked: dict[str, int] = {}  # own, when last
        self.fresh: dict[str, tuple[int, float]] = {}  # heard: when, and the load
        self.to_tell: dict[str, float] = {}
        self.members: list[int] = []
        self.own: list[str] = []

    def listed(self, names: Iterable[str]) -> None:
        """Servers that are warm. Danger: of one that just started all would hear in the same instant that it is empty,
        and what they bring together pushed it over (laboratory, 1 of 24 lost zones): each asks it by itself."""
        names = set(names)
        if names == self.servers.keys():
            return
        self.codes, self.members = {}, []
        twice: set[int] = set()
        for name in sorted(names):
            code = code_of(name)
            (twice.add(code) if code in self.codes else self.codes.__setitem__(code, name))
        for code in twice:
            del self.codes[code]
        self.servers = {name: code_of(name) for name in names}
        for known in (self.asked, self.fresh, self.to_tell):
            for name in known.keys() - names:
                del known[name]

    def mine(self, now: int) -> list[str]:
        members = list(self.roster.members(now))
        if members != self.members:
            self.own = [n for n in self.servers if first(n, members) == self.roster.me]
            self.members = members
        return self.own

    def due(self, now: int) -> list[str]:
        """Servers of this balancer's share that are to be asked now."""
        found = [n for n in self.mine(now) if now - self.asked.get(n, -EVERY_US) >= EVERY_US]
        self.asked.update(dict.fromkeys(found, now))
        return found

    def told(self, server: str, now: int) -> float | None:
        """Another's word on its load that counts as the present; None where it must be probed."""
        at, load = self.fresh.get(server, (now - FRESH_REPORT_US, 0.0))
        return load if now - at < FRESH_REPORT_US else None

    def result(self, server: str, load: float | None, now: int) -> None:
        """An answer to a probe of ours, whoever wanted it."""
        if load is not None and load >= 0 and server in self.servers:
            self.asked[server] = now
            self.to_tell[server] = load

    def datagrams(self) -> list[bytes]:
        """What has been learned since the last call, for all others."""
        told = [ONE.pack(self.servers[n] << 8 | stepped(load)) for n, load in self.to_tell.items()
                if self.codes.get(self.servers[n]) == n]
        self.to_tell.clear()
        return [b"".join(told[at:at + IN_ONE]) for at in range(0, len(told), IN_ONE)]

    def hear(self, data: bytes, now: int) -> list[tuple[str, float]] | None:
        """Loads from another's words; None for what are none. Servers that are not known here are passed over."""
        if not data or len(data) % ONE.size:
            return None
        out = []
        for (word,) in ONE.iter_unpack(data):
            name, load = self.codes.get(word >> 8), load_of(word & 0xFF)
            if name is not None:
                self.fresh[name] = now, load
                out.append((name, load))
        return out
