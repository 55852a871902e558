"""Waiting for a condition that no event reports, such as the end of a process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

POLL_S = 0.02


async def wait_until(condition: Callable[[], bool], timeout_s: float = float("inf")) -> bool:
    """Waits until a condition is met. Returns False where it is not met in time."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    while not condition():
        if loop.time() > until_s:
            return False
        await asyncio.sleep(POLL_S)
    return True
