"""Servers taken out of rotation by an operator.

An override stands until the server is called back, whatever the endpoint list says meanwhile: that it is
ready, gone, listed anew or started again. To the server's clients it is a drain told now. On its return it
counts as just started: it may have been restarted meanwhile, and the list tells so seconds late. Times are
microseconds.
"""

from __future__ import annotations

from .interface import OperatorOverride

MAX_REMEMBERED_RETURNS = 4096  # remembered


class OperatorOverrides:
    """Servers that are out, and when the others were called back."""

    def __init__(self) -> None:
        self.suspended_servers: set[str] = set()
        self.resumed_at_us: dict[str, int] = {}  # longest ago first

    def apply(self, event: OperatorOverride, now_us: int) -> bool:
        """A call out or back. False where it changes nothing: calls may be repeated."""
        if event.is_suspended:
            changed = event.server not in self.suspended_servers
            self.suspended_servers.add(event.server)
            return changed
        at_us = min(now_us, event.at_us or now_us)
        # A return that another process was told of may come with no override known here.
        news = bool(event.at_us) and at_us > self.resumed_at_us.get(event.server, 0)
        if event.server not in self.suspended_servers and not news:
            return False
        self.suspended_servers.discard(event.server)
        self.resumed_at_us.pop(event.server, None)
        self.resumed_at_us[event.server] = at_us
        if len(self.resumed_at_us) > MAX_REMEMBERED_RETURNS:
            del self.resumed_at_us[next(iter(self.resumed_at_us))]
        return True

    def allows(self, server: str) -> bool:
        """Whether the server may be in rotation."""
        return server not in self.suspended_servers

    def started_us(self, server: str, listed_us: int) -> int:
        """The time from which a server counts as started, where the list tells `listed_us`."""
        return max(listed_us, self.resumed_at_us.get(server, 0))
