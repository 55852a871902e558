"""One attempt to set a client's connection up at a server."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from .attempt_outcomes import AttemptResult, Reach


def _always() -> bool:
    return True


@dataclass
class ConnectionAttempt:
    """One attempt at one server. Once it is up, `sock` is the relay's.

    Attributes:
        line: the client's first line.
        done: called once, with the result.
        insist: for a connection that stood there before this balancer did, whatever the endpoint list says.
        request_id: for the log.
        first: what came with UP, that line included.
        wanted: asked right before the line is written.
    """

    line: bytes
    timeout_ms: float
    done: Callable[[ConnectionAttempt, AttemptResult], None]
    insist: bool = False
    sock: socket.socket | None = None
    first: bytes = b""
    reach: Reach = Reach.NOT_CONNECTED
    sent_at: float = 0.0
    latency_ms: float = 0.0
    withdrawn: bool = False
    wanted: Callable[[], bool] = _always
    task: asyncio.Task[None] | None = field(default=None, repr=False)
    request_id: str = ""

    def withdraw(self) -> None:
        """Ends the attempt, one that still lies with its server's actor too."""
        self.withdrawn = True
        if self.task and self.sent_at:  # a task cancelled before its first step would never report
            self.task.cancel()
