"""Waits for the kernel, so that a manual clock does not run ahead of data and connections on loopback.

On a busy machine the kernel delivers loopback packets tens of milliseconds late. In that time, a test may advance the
manual clock by seconds, and timeouts expire that would not expire in real time.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import uvloop

from glenrock.net.clock import ManualClock

CLOCK_STEP_MS = 10
ITERATION_S = 0.0002
MAX_CONNECT_WAIT_S = 1.0  # a connect to a full accept queue stays pending, so the wait is bounded


class ConnectTrackingLoop(uvloop.Loop):
    """An event loop that records which of its connects are pending.

    Attributes:
        connects_started: by socket that is connecting, when the connect began, in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        super().__init__()
        self.connects_started: dict[socket.socket, float] = {}

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Connects a socket, and records it until the connect has ended."""
        self.connects_started[sock] = time.monotonic()
        try:
            await super().sock_connect(sock, address)
        finally:
            del self.connects_started[sock]

    def has_pending_connect(self) -> bool:
        """Returns whether a connect is pending that began at most `MAX_CONNECT_WAIT_S` ago."""
        min_started = time.monotonic() - MAX_CONNECT_WAIT_S
        return any(started > min_started for started in self.connects_started.values())


class DeliveryBarrier:
    """A separate loopback connection. The kernel delivers a byte on it after all data that was sent earlier."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self._sender = socket.create_connection(listener.getsockname())
            self._receiver = listener.accept()[0]
        self._sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def wait(self) -> None:
        """Sends a byte and blocks until it has arrived."""
        self._sender.send(b".")
        self._receiver.recv(1)

    def close(self) -> None:
        """Closes both ends."""
        self._sender.close()
        self._receiver.close()


class ManualTime:
    """Advances a manual clock no faster than the kernel delivers on loopback. Needs a `ConnectTrackingLoop`.

    Attributes:
        clock: the clock.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        loop = asyncio.get_running_loop()
        assert isinstance(loop, ConnectTrackingLoop)
        self._loop = loop
        self._delivery = DeliveryBarrier()

    async def advance(self, ms: float) -> None:
        """Advances the clock in small steps, and runs the event loop between them."""
        while ms > 0:
            await self.run_loop()
            self.clock.advance(min(ms, CLOCK_STEP_MS))
            ms -= CLOCK_STEP_MS
        await self.run_loop()

    async def run_loop(self) -> None:
        """Runs the event loop ten times, and until the kernel has delivered all data and completed all connects."""
        for _ in range(10):
            await asyncio.sleep(ITERATION_S)
            self._delivery.wait()
        while self._loop.has_pending_connect():  # noqa: ASYNC110 - the kernel completes it, so no event signals it
            await asyncio.sleep(0)

    def close(self) -> None:
        """Closes the barrier's connection."""
        self._delivery.close()
