"""How long a response of discovery that has begun is read. Performs no I/O, and reads no clock."""

from __future__ import annotations

MAX_RESPONSE_TIME_MS = 30_000.0  # from the first bytes of a response, however fast it comes
CHECKS_PER_TIMEOUT = 2


class ResponseProgress:
    """Decides when a response that does not become complete is given up.

    The sender may cut a response at any byte, so the time between two parts has no limit of its own. A response may
    take `timeout_ms` from its first bytes. One that is still coming then, such as a list of thousands of servers, goes
    on as long as the bytes of each further check interval show that it will be complete within `MAX_RESPONSE_TIME_MS`.

    Attributes:
        next_check_ms: when `may_continue` is to be called next, on the clock of the process.
    """

    def __init__(self, began_ms: float, timeout_ms: float) -> None:
        self._interval_ms = timeout_ms / CHECKS_PER_TIMEOUT
        self._timeout_at_ms = began_ms + timeout_ms
        self._last_end_ms = began_ms + MAX_RESPONSE_TIME_MS
        self._received_at_check = 0
        self.next_check_ms = began_ms + self._interval_ms

    def may_continue(self, received_bytes: int, total_bytes: int) -> bool:
        """Returns whether to go on reading until the next check.

        Args:
            received_bytes: the bytes of the body received so far.
            total_bytes: the length of the body, or an upper bound of it.
        """
        at_ms = self.next_check_ms
        new_bytes = received_bytes - self._received_at_check
        self._received_at_check = received_bytes
        self.next_check_ms = at_ms + self._interval_ms
        if at_ms < self._timeout_at_ms:
            return True
        intervals_left = (self._last_end_ms - at_ms) / self._interval_ms
        return intervals_left >= 1 and new_bytes * intervals_left >= total_bytes - received_bytes
