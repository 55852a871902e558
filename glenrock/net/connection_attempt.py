"""One attempt to establish a client connection at a server."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from .attempt_outcomes import AttemptProgress, AttemptResult


def _always_waiting() -> bool:
    return True


@dataclass
class ConnectionAttempt:
    """One attempt at one server. The relay owns `sock` once the connection is established.

    Attributes:
        line: the client's request line.
        timeout_ms: the time limit of the whole attempt.
        on_result: called once, with the result.
        ignores_endpoint_state: whether the attempt is also made at a server that is draining or not listed. True when a
            connection that the server already has is resumed.
        sock: the socket to the server; None before it is created and after it is closed.
        received: the bytes read from the server, its answer line included, that are not relayed yet.
        progress: how far the attempt has come.
        started_ms: when the server's actor started it; 0 before.
        latency_ms: the time from its start to its result.
        is_cancelled: whether it was cancelled.
        is_client_waiting: returns whether the client still waits; called before the line is written.
        task: runs the attempt.
        request_id: for the log.
    """

    line: bytes
    timeout_ms: float
    on_result: Callable[[ConnectionAttempt, AttemptResult], None]
    ignores_endpoint_state: bool = False
    sock: socket.socket | None = None
    received: bytes = b""
    progress: AttemptProgress = AttemptProgress.NOT_CONNECTED
    started_ms: float = 0.0
    latency_ms: float = 0.0
    is_cancelled: bool = False
    is_client_waiting: Callable[[], bool] = _always_waiting
    task: asyncio.Task[None] | None = field(default=None, repr=False)
    request_id: str = ""

    def cancel(self) -> None:
        """Cancels the attempt, whether or not the server's actor has started it."""
        self.is_cancelled = True
        if self.task and self.started_ms:  # a task that is cancelled before it runs would never report a result
            self.task.cancel()
