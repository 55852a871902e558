"""Tasks beside the program: what fails in them is told, and ends no client's connection."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Coroutine
from typing import Any

from ..log import say

TRACEBACK_LINES = -3


class BackgroundTasks:
    """The one owner of the coordination's tasks."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task."""
        task = asyncio.get_running_loop().create_task(_guarded(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Ends all tasks."""
        for task in list(self._tasks):
            task.cancel()


async def _guarded(work: Coroutine[Any, Any, None]) -> None:
    try:
        await work
    except Exception:  # noqa: BLE001 - the edge of the task
        say("fleet", "a part of the fleet's work ended: " + traceback.format_exc(limit=TRACEBACK_LINES))
