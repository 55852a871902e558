"""Servers taken out of rotation by hand. Pure: rules.py asks, and acts.

A ban lasts until the call back, whatever the list says meanwhile: that the server is ready, gone, listed anew
or started again. To the server's clients it is a drain told now. On return it counts as just started: it may
have been restarted meanwhile, and the list tells so seconds late. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from . import interface as io
from .records import Memory, Server

MOST = 4096  # returns remembered


class Hand:
    def __init__(self) -> None:
        self.out: set[str] = set()
        self.back: dict[str, int] = {}  # when each was last called back, longest ago first

    def take(self, e: io.ByHand, now: int) -> bool:
        """A call out or back. False where it changes nothing: calls may be repeated."""
        at = min(now, e.at_us or now)
        if e.out:
            changed = e.server not in self.out
            self.out.add(e.server)
            return changed
        # A return that another process was told of may come with no ban known here.
        if e.server not in self.out and (not e.at_us or at <= self.back.get(e.server, 0)):
            return False
        self.out.discard(e.server)
        self.back.pop(e.server, None)
        self.back[e.server] = at
        if len(self.back) > MOST:
            del self.back[next(iter(self.back))]
        return True

    def allows(self, server: str) -> bool:
        return server not in self.out

    def leaving(self, m: Memory, s: Server, most: int, target: float) -> list[str]:
        """Who is moved off a server this round, of so many at most. Off one that is out by hand and still
        listed goes no more load than brings the rest to the target, in proportion to what is ours there.

        Danger: who stands at a server that is out is still served there. Moved to servers that are full they
        are not, nor are those who stood at these.
        """
        room = float("inf")
        if s.listed and not self.allows(s.id):
            rest = sum(f.load for x in m.servers.values() if x.ready for f in x.held.values())
            room = rest * (target / max(0.1, m.fleet) - 1) if rest else room
        out = []
        for id_, f in list(s.held.items())[:most]:
            if room > 0:
                out.append(id_)
            room -= f.load
        return out

    def started(self, server: str, told: int) -> int:
        """The time from which a server counts as cold, where the list tells `told`."""
        return max(told, self.back.get(server, 0))


def avoided(m: Memory, usable: Callable[[Server], bool], names: Iterable[str]) -> int:
    """How many of the named servers get nothing new now, by hand or by choice. Reads only."""
    servers = (m.servers.get(name) for name in names)
    return sum(s is None or not s.ready or not usable(s) for s in servers)


def restart(s: Server, at: int) -> None:
    """A new process, or one that counts as new: what was known of the old one is void, and it is cold."""
    s.started_us, s.down_until, s.failures, s.load = at, 0, 0, -1.0
    s.brought.clear()
