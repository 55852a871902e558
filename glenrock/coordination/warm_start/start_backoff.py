"""Starts of one balancer that follow each other too soon: a process that dies again and again comes back ever later.

The file is written before anything is served, and holds the times of the last starts in Unix milliseconds; an end by
SIGTERM takes its own back, since that was no death.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from ...log import say

MAX_STARTS = 16  # that are remembered: the wait has long reached its bound
FIRST_WAIT_DIVISOR = 16  # of a sound life is the first wait: short beside it, and doubled until it is as long
MAX_BYTES = 4096


@dataclass(frozen=True)
class BackoffPolicy:
    """A life of `sound_ms` was no death at the start; nobody waits longer than `most_ms`."""

    sound_ms: float
    most_ms: float

    def early_deaths(self, starts: Sequence[float], now_ms: float) -> int:
        """Lives before this start that ended too soon, in a row.

        Times from now on are of a clock that went back, and count for nothing.
        """
        count, later_ms = 0, now_ms
        for at_ms in sorted((at_ms for at_ms in starts if at_ms <= now_ms), reverse=True):
            if later_ms - at_ms >= self.sound_ms:
                break
            count += 1
            later_ms = at_ms
        return count

    def wait_ms(self, starts: Sequence[float], now_ms: float) -> float:
        """How long this start waits before it does anything."""
        deaths = self.early_deaths(starts, now_ms)
        if deaths <= 1:
            return 0.0
        return min(self.most_ms, self.sound_ms / FIRST_WAIT_DIVISOR * 2.0 ** (deaths - 2))


class StartBackoff:
    """The file of one balancer's starts."""

    def __init__(self, folder: Path, name: str, policy: BackoffPolicy, now: Callable[[], float]) -> None:
        self.path = folder / f"glenrock-{name}.starts"
        self._policy = policy
        self._now = now
        self._own_start_ms = 0.0  # as written

    def read(self) -> list[float]:
        """The last starts; none where they cannot be read, which is told."""
        try:
            with open(self.path, "rb") as file:
                raw = json.loads(file.read(MAX_BYTES))
        except FileNotFoundError:
            return []
        except (OSError, ValueError) as error:
            return self._unusable(error)
        if not isinstance(raw, list) or not all(isinstance(at_ms, int | float) for at_ms in raw):
            return self._unusable("no list of times")
        return [float(at_ms) for at_ms in raw]

    def _unusable(self, reason: object) -> list[float]:
        say("start", f"{self.path} is left aside: {reason}")
        return []

    def write(self, starts: Sequence[float]) -> None:
        """Replaces the file; where it cannot be written, that is told."""
        try:
            beside = f"{self.path}.{os.getpid()}"
            with open(beside, "wb") as file:
                file.write(json.dumps(starts[-MAX_STARTS:]).encode())
            os.replace(beside, self.path)
        except OSError as error:
            say("start", f"{self.path} cannot be written: {error}")

    async def wait(self, stop: asyncio.Event) -> None:
        """Waits as long as this start has to, or until the process is told to end."""
        starts, now_ms = self.read(), self._now()
        wait_ms = self._policy.wait_ms(starts, now_ms)
        self.write([*starts, now_ms])  # one that dies while it waits has died as well
        if wait_ms:
            deaths = self._policy.early_deaths(starts, now_ms)
            sound = f"{self._policy.sound_ms / 1000:g} s"
            say("start", f"{deaths} lives in a row ended within {sound}: the door opens in {wait_ms / 1000:.1f} s")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop.wait(), wait_ms / 1000)
        # The life begins now: what it waited is not part of it.
        self._own_start_ms = self._now()
        self.write([*starts, self._own_start_ms])

    def record_orderly_end(self) -> None:
        """By SIGTERM: this was no death, and ends the row."""
        if self._own_start_ms:
            self.write([at_ms for at_ms in self.read() if at_ms != self._own_start_ms])
