"""Operator overrides: the servers that operators have suspended.

A suspension lasts until an operator resumes the server, whatever the endpoint list states meanwhile. The
clients of a suspended server migrate as for a drain. A resumed server counts as just started, since it may
have restarted while it was suspended, which the endpoint list states only seconds later. Times are
microseconds.
"""

from __future__ import annotations

from .interface import OperatorOverride

MAX_RECORDED_RESUMPTIONS = 4096


class OperatorOverrides:
    """The suspended servers, and the times at which servers were resumed.

    Attributes:
        suspended_servers: ids of the suspended servers.
        resumed_at_us: time of the last resumption, by server id, in the order in which they were received.
    """

    def __init__(self) -> None:
        self.suspended_servers: set[str] = set()
        self.resumed_at_us: dict[str, int] = {}

    def apply(self, event: OperatorOverride, now_us: int) -> bool:
        """Suspends or resumes a server. Returns whether this changed anything: calls may be repeated."""
        if event.is_suspended:
            is_new = event.server_id not in self.suspended_servers
            self.suspended_servers.add(event.server_id)
            return is_new
        at_us = min(now_us, event.at_us or now_us)
        # A resumption that another process received may arrive although the server is not suspended here.
        is_later_resumption = bool(event.at_us) and at_us > self.resumed_at_us.get(event.server_id, 0)
        if event.server_id not in self.suspended_servers and not is_later_resumption:
            return False
        self.suspended_servers.discard(event.server_id)
        self.resumed_at_us.pop(event.server_id, None)
        self.resumed_at_us[event.server_id] = at_us
        if len(self.resumed_at_us) > MAX_RECORDED_RESUMPTIONS:
            del self.resumed_at_us[next(iter(self.resumed_at_us))]
        return True

    def allows(self, server_id: str) -> bool:
        """Returns whether the server is not suspended."""
        return server_id not in self.suspended_servers

    def started_us(self, server_id: str, listed_us: int) -> int:
        """Returns when the server counts as started if the endpoint list states `listed_us`.

        This is the later of the listed start and the last resumption.
        """
        return max(listed_us, self.resumed_at_us.get(server_id, 0))
