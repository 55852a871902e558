"""Start backoff: delays the start of a balancer whose incarnations repeatedly crash soon after their start.

A file contains the times of the last starts, in Unix milliseconds. A start is added before the balancer serves
anything, and removed when the process exits by SIGTERM, since that is not a crash.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from ...log import get_logger

logger = get_logger(__name__)

MAX_STARTS = 16  # kept in the file; the delay reaches its maximum after fewer crashes
FIRST_DELAY_DIVISOR = 16  # the first delay is `min_lifetime_ms` divided by this; it doubles with each further crash
CRASHES_WITHOUT_DELAY = 1  # crashes in a row after which the start is not delayed
MAX_BYTES = 4096
SECOND_MS = 1000


@dataclass(frozen=True)
class BackoffPolicy:
    """When and for how long a start is delayed.

    Attributes:
        min_lifetime_ms: an incarnation that ran at least this long did not crash at its start.
        max_delay_ms: the longest delay.
    """

    min_lifetime_ms: float
    max_delay_ms: float

    def recent_crashes(self, starts_ms: Sequence[float], now_ms: float) -> int:
        """Returns how many incarnations in a row, up to this start, ran for less than `min_lifetime_ms`.

        A start time in the future is ignored: it was written before the clock was set back.
        """
        crashes, next_ms = 0, now_ms
        for start_ms in sorted((start_ms for start_ms in starts_ms if start_ms <= now_ms), reverse=True):
            if next_ms - start_ms >= self.min_lifetime_ms:
                break
            crashes += 1
            next_ms = start_ms
        return crashes

    def delay_ms(self, starts_ms: Sequence[float], now_ms: float) -> float:
        """Returns the delay of a start at `now_ms`."""
        crashes = self.recent_crashes(starts_ms, now_ms)
        if crashes <= CRASHES_WITHOUT_DELAY:
            return 0.0
        doublings = crashes - CRASHES_WITHOUT_DELAY - 1
        return min(self.max_delay_ms, self.min_lifetime_ms / FIRST_DELAY_DIVISOR * 2.0**doublings)


class StartBackoff:
    """Delays the start of one balancer, and records its starts in a file.

    Attributes:
        path: the path of the file.
    """

    def __init__(self, folder: Path, name: str, policy: BackoffPolicy, now: Callable[[], float]) -> None:
        self.path = folder / f"glenrock-{name}.starts"
        self._policy = policy
        self._now = now
        self._own_start_ms = 0.0  # this incarnation's start time in the file; 0 until it is recorded

    def read(self) -> list[float]:
        """Returns the times of the last starts, in Unix milliseconds; an empty list if the file cannot be used."""
        try:
            with open(self.path, "rb") as file:
                raw = json.loads(file.read(MAX_BYTES))
        except FileNotFoundError:
            return []
        except (OSError, ValueError) as error:
            logger.warning("start times not readable", path=self.path, error=error)
            return []
        if not isinstance(raw, list) or not all(isinstance(start_ms, int | float) for start_ms in raw):
            logger.warning("start times not readable", path=self.path, error="not a list of times")
            return []
        return [float(start_ms) for start_ms in raw]

    def write(self, starts_ms: Sequence[float]) -> None:
        """Replaces the file. A failure is logged."""
        try:
            temporary_path = f"{self.path}.{os.getpid()}"
            with open(temporary_path, "wb") as file:
                file.write(json.dumps(starts_ms[-MAX_STARTS:]).encode())
            os.replace(temporary_path, self.path)
        except OSError as error:
            logger.warning("start times not written", path=self.path, error=error)

    async def wait(self, stop: asyncio.Event) -> None:
        """Waits for the delay of this start, or until `stop` is set."""
        starts_ms, now_ms = self.read(), self._now()
        delay_ms = self._policy.delay_ms(starts_ms, now_ms)
        self.write([*starts_ms, now_ms])  # so that a crash during the delay counts
        if delay_ms:
            crashes = self._policy.recent_crashes(starts_ms, now_ms)
            min_lifetime_ms = self._policy.min_lifetime_ms
            logger.warning(
                "start delayed after repeated crashes", crashes=crashes, sound_ms=min_lifetime_ms, delay_ms=delay_ms
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop.wait(), delay_ms / SECOND_MS)
        self._own_start_ms = self._now()  # the delay does not count towards this incarnation's lifetime
        self.write([*starts_ms, self._own_start_ms])

    def record_graceful_exit(self) -> None:
        """Removes this incarnation's start from the file, since the process exits by SIGTERM and did not crash."""
        if self._own_start_ms:
            self.write([start_ms for start_ms in self.read() if start_ms != self._own_start_ms])
