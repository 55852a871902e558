"""Starts of one balancer that follow each other too soon: a process that dies again and again comes back ever later.

The file is written before anything is served, and holds the times of the last starts; an end by SIGTERM takes its own
back, since that was no death.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ...log import say

MOST = 16  # starts that are remembered: the wait has long reached its bound
FIRST_PART = 16  # of a sound life is the first wait: short beside it, and doubled until it is as long
LARGEST = 4096  # bytes


@dataclass(frozen=True)
class Spacing:
    """A life of `sound_ms` was no death at the start; nobody waits longer than `most_ms`."""

    sound_ms: float
    most_ms: float

    def deaths(self, starts: list[float], now_ms: float) -> int:
        """Lives before this start that ended too soon, in a row. Times from now on are of a clock that went back, and
        count for nothing."""
        row, later = 0, now_ms
        for at in sorted((at for at in starts if at <= now_ms), reverse=True):
            if later - at >= self.sound_ms:
                break
            row, later = row + 1, at
        return row

    def wait(self, starts: list[float], now_ms: float) -> float:
        """How long this start waits before it does anything, in ms."""
        row = self.deaths(starts, now_ms)
        return min(self.most_ms, self.sound_ms / FIRST_PART * 2.0 ** (row - 2)) if row > 1 else 0.0


class Starts:
    def __init__(self, folder: Path, name: str, spacing: Spacing, now: Callable[[], float]) -> None:
        self.path, self.spacing, self.now = folder / f"glenrock-{name}.starts", spacing, now
        self.mine = 0.0  # the time of this start, as written

    def read(self) -> list[float]:
        """The last starts; none where they cannot be read, which is told."""
        try:
            with open(self.path, "rb") as file:
                raw = json.loads(file.read(LARGEST))
            if not isinstance(raw, list) or not all(isinstance(at, int | float) for at in raw):
                raise ValueError("no list of times")
        except FileNotFoundError:
            return []
        except (OSError, ValueError) as bad:
            say("start", f"{self.path} is left aside: {bad}")
            return []
        return [float(at) for at in raw]

    def write(self, starts: list[float]) -> None:
        try:
            beside = f"{self.path}.{os.getpid()}"
            with open(beside, "wb") as file:
                file.write(json.dumps(starts[-MOST:]).encode())
            os.replace(beside, self.path)
        except OSError as bad:
            say("start", f"{self.path} cannot be written: {bad}")

    async def space(self, stop: asyncio.Event) -> None:
        """Waits as long as this start has to, or until the process is told to end."""
        starts, now = self.read(), self.now()
        wait = self.spacing.wait(starts, now)
        self.write([*starts, now])  # one that dies while it waits has died as well
        if wait:
            say("start", f"{self.spacing.deaths(starts, now)} lives in a row ended within "
                f"{self.spacing.sound_ms / 1000:g} s: the door opens in {wait / 1000:.1f} s")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop.wait(), wait / 1000)
        # The life begins now: what it waited is not part of it.
        self.mine = self.now()
        self.write([*starts, self.mine])

    def ended(self) -> None:
        """By SIGTERM: this was no death, and ends the row."""
        if self.mine:
            self.write([at for at in self.read() if at != self.mine])
