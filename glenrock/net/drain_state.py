"""Whether this balancer takes new clients: the one owner of that state.

An operator's drain begins with a call and ends with `end_manual`, and with nothing else: not with SIGTERM or a reload.
A shutdown begins with SIGTERM and never ends. Both may be in progress at once. What the program answers to clients,
operators and routing is derived from them here.
"""

from __future__ import annotations

from collections.abc import Callable

from glenrock.routing import interface

from ..operation_errors import OperationRejectedError
from .clock import Clock

MANUAL_REJECT_AFTER_MS = 1000.0  # from the start of a manual drain to the first rejection; the front end knows by then


class DrainState:
    """The drain that an operator has set, and the shutdown of this process.

    Attributes:
        manual_started_ms: when the manual drain began, on the process's clock; None without one.
        is_stopping: whether the process has been asked to stop.
        is_closing: whether the process answers its last connections before it ends.
        is_replacing: whether the drain was taken over from a predecessor in an upgrade that still runs.
        on_manual_change: called after each begin and end of a manual drain.

    Args:
        clock: the process's clock.
        post_drain_mode: tells routing that this balancer starts or stops draining.
    """

    def __init__(self, clock: Clock, post_drain_mode: Callable[[interface.DrainMode], None]) -> None:
        self.manual_started_ms: float | None = None
        self.is_stopping = False
        self.is_closing = False
        self.is_replacing = False
        self.on_manual_change: Callable[[], None] = _ignore
        self._clock = clock
        self._post_drain_mode = post_drain_mode

    # -- derived answers -------------------------------------------------------------------------------

    @property
    def is_manually_draining(self) -> bool:
        """Whether an operator drains this balancer; pings of clients are then answered with a failure.

        A shutdown alone does not change the answer: a front end notices by itself that a balancer stops.
        """
        return self.manual_started_ms is not None

    @property
    def rejects_requests(self) -> bool:
        """Whether requests that arrive now are rejected."""
        if self.is_closing:
            return True
        if self.manual_started_ms is None:
            return False
        return self._clock.now_ms() >= self.manual_started_ms + MANUAL_REJECT_AFTER_MS

    def unready_reason(self) -> str | None:
        """Returns why an operator should not rely on this process; None if it is ready.

        The process that takes over a drained balancer in an upgrade is ready as long as its predecessor runs: it can
        replace it. Its clients are told no all the same.
        """
        if self.is_stopping:
            return "not ready: stopping"
        return "not ready: draining" if self.is_manually_draining and not self.is_replacing else None

    # -- changes ---------------------------------------------------------------------------------------

    def check_not_stopping(self) -> None:
        """Checks that an operator may still change the drain.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        if self.is_stopping:
            raise OperationRejectedError("not done: the process is stopping")

    def begin_manual(self, started_ms: float, *, is_replacing: bool = False) -> bool:
        """Begins a manual drain. Returns False if one is in progress.

        Args:
            started_ms: when the drain began, on the process's clock.
            is_replacing: whether the drain is taken over from a predecessor in an upgrade that still runs.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        self.check_not_stopping()
        if self.is_manually_draining:
            return False
        self.manual_started_ms = started_ms
        self.is_replacing = is_replacing
        self._post_drain_mode(interface.DrainMode(True))
        self.on_manual_change()
        return True

    def end_manual(self) -> bool:
        """Ends the manual drain. Returns False if there is none.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        self.check_not_stopping()
        if not self.is_manually_draining:
            return False
        self.manual_started_ms = None
        self.is_replacing = False
        self._post_drain_mode(interface.DrainMode(False))
        self.on_manual_change()
        return True

    def begin_stopping(self) -> None:
        """Records that the process has been asked to stop. A manual drain stays in force."""
        self.is_stopping = True
        if not self.is_manually_draining:
            self._post_drain_mode(interface.DrainMode(True))

    def begin_closing(self) -> None:
        """Records that the process answers its last connections, and accepts no request any more."""
        self.is_closing = True


def _ignore() -> None:
    """The default of `on_manual_change`."""
