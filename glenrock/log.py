"""Log lines on standard error, at most a few of each kind a second."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

PER_SECOND = 5


class Log:
    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.spells: dict[str, tuple[float, int]] = {}  # kind: start of its second, lines in it

    def __call__(self, kind: str, text: str) -> None:
        now = self.now()
        start, count = self.spells.get(kind, (now, 0))
        if now - start >= 1:
            if count > PER_SECOND:
                print(f"{kind}: {count - PER_SECOND} more lines like this left out", file=sys.stderr)
            start, count = now, 0
        self.spells[kind] = (start, count + 1)
        if count < PER_SECOND:
            print(f"{kind}: {text}", file=sys.stderr, flush=True)


say = Log()
