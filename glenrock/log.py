"""Log lines on standard error, at most a few of each kind a second.

A line is `kind: text`; `docs/oncall.md` has a row for each kind.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import NamedTuple

MAX_LINES_A_SECOND = 5  # of each kind


class _Window(NamedTuple):
    """A second of one kind of line: when it began, and the lines in it, printed or not."""

    began_s: float
    lines: int


class RateLimitedLog:
    """Prints lines, and leaves out what exceeds the rate of its kind. `now` is in seconds."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._windows: dict[str, _Window] = {}

    def __call__(self, kind: str, text: str) -> None:
        """Prints a line, unless there were enough of that kind in this second."""
        now_s = self._now()
        window = self._windows.get(kind, _Window(now_s, 0))
        if now_s - window.began_s >= 1:
            if window.lines > MAX_LINES_A_SECOND:
                left_out = window.lines - MAX_LINES_A_SECOND
                print(f"{kind}: {left_out} more lines like this left out", file=sys.stderr)
            window = _Window(now_s, 0)
        self._windows[kind] = _Window(window.began_s, window.lines + 1)
        if window.lines < MAX_LINES_A_SECOND:
            print(f"{kind}: {text}", file=sys.stderr, flush=True)


say = RateLimitedLog()
