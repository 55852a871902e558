"""The tasks of the coordination. An exception in a task is logged, and ends no client's connection."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from ..log import get_logger

logger = get_logger(__name__)


class BackgroundTasks:
    """The owner of the coordination's tasks."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def run(self, work: Coroutine[Any, Any, object]) -> None:
        """Starts a task. Its result is ignored."""
        task = asyncio.get_running_loop().create_task(_run_logged(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()


async def _run_logged(work: Coroutine[Any, Any, object]) -> None:
    try:
        await work
    except Exception:
        logger.exception("coordination task failed")
