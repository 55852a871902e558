"""The background tasks of the coordination. An exception in a task is logged, and does not affect clients."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from ..log import get_logger

logger = get_logger(__name__)


class BackgroundTasks:
    """Starts background tasks, keeps references to them, and cancels them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def run(self, coroutine: Coroutine[Any, Any, object]) -> None:
        """Starts a task that runs a coroutine. The coroutine's result is ignored."""
        task = asyncio.get_running_loop().create_task(_run_logged(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()


async def _run_logged(coroutine: Coroutine[Any, Any, object]) -> None:
    try:
        await coroutine
    except Exception:
        logger.exception("coordination task failed")
