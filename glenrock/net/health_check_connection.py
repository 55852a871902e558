"""Health checks of one server, on a connection that stays open between checks."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import NamedTuple

from glenrock.routing import interface

from . import protocol
from .clock import Clock, us_from_ms
from .endpoint_rows import EndpointRow
from .health_check_pool import HealthCheckPool
from .protocol import ServerKeyword
from .socket_io import close_socket, create_socket
from .system_errors import is_local_connect_error

HEALTH_CHECK_TIMEOUT_MS = 250.0  # for a whole health check, with the connect
HEALTH_CHECK_IDLE_TIMEOUT_MS = 8000.0  # a connection that has been idle for longer is closed


class CheckResult(NamedTuple):
    """The outcome of a health check, with the server's load report."""

    outcome: interface.AttemptOutcome
    report: dict[str, float]


NO_CONNECTION = CheckResult(interface.AttemptOutcome.NO_CONNECTION, {})
NO_ANSWER = CheckResult(interface.AttemptOutcome.TIMEOUT, {})
NOT_SENT = CheckResult(interface.AttemptOutcome.UNSENT, {})
"""The check failed on this machine, which says nothing about the server."""


class HealthCheckConnection:
    """Owns the connection for health checks of one server. One check at a time may be in flight."""

    def __init__(self, clock: Clock, post: Callable[[interface.Event], object], pool: HealthCheckPool) -> None:
        self._clock = clock
        self._post = post
        self._pool = pool
        self._sock: socket.socket | None = None
        self._is_connected = False
        self._last_used_ms = 0.0

    async def check(self, row: EndpointRow) -> None:
        """Runs a health check and posts its result, which is UNSENT if all connections of the pool are in use."""
        started_ms = self._clock.now_ms()
        result = NO_ANSWER
        if not self._pool.acquire(self):
            self._post(interface.HealthCheckResult(row.name, interface.AttemptOutcome.UNSENT))
            return
        try:
            async with self._clock.time_limit(HEALTH_CHECK_TIMEOUT_MS):
                result = await self._check_with_reconnect(row)
        except OSError as error:
            result = NOT_SENT if is_local_connect_error(error) and not self._is_connected else NO_CONNECTION
        finally:
            if result.outcome is not interface.AttemptOutcome.SERVED:
                self.disconnect()
            self._pool.release(self)
        self._last_used_ms = self._clock.now_ms()
        latency_us = us_from_ms(self._last_used_ms - started_ms)
        self._post(interface.HealthCheckResult(row.name, result.outcome, latency_us, result.report))

    async def _check_with_reconnect(self, row: EndpointRow) -> CheckResult:
        if self._sock:
            # The server may just have closed the idle connection, which says nothing about its health. Two such ends
            # counted as failures would eject a healthy server. So the check is repeated on a new connection.
            with contextlib.suppress(OSError):
                result = await self._exchange(self._sock)
                if result.outcome is not interface.AttemptOutcome.NO_CONNECTION:
                    return result
            self.disconnect()
        self._is_connected = False
        self._sock = create_socket()
        await asyncio.get_running_loop().sock_connect(self._sock, row.address)
        self._is_connected = True
        return await self._exchange(self._sock)

    async def _exchange(self, sock: socket.socket) -> CheckResult:
        """Sends a health check and reads the answer.

        Raises:
            OSError: the connection failed.
        """
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, protocol.HEALTH_CHECK_LINE)
        buffer = bytearray(protocol.MAX_LINE_BYTES)
        splitter = protocol.LineSplitter()
        while True:
            count = await loop.sock_recv_into(sock, buffer)
            if not count:
                return NO_CONNECTION
            for line in splitter.feed(bytes(buffer[:count])):
                keyword, rest = protocol.split_keyword(line)
                if keyword != ServerKeyword.HEALTHY and "=" not in keyword:
                    return CheckResult(interface.AttemptOutcome.ERROR, {})
                load_text = rest if keyword == ServerKeyword.HEALTHY else keyword
                if "=" in load_text:
                    return CheckResult(interface.AttemptOutcome.SERVED, protocol.parse_load_report(load_text))

    def disconnect(self) -> None:
        """Closes the connection."""
        self._pool.remove(self)
        if self._sock:
            close_socket(self._sock)
            self._sock = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open or being established."""
        return self._sock is not None

    def close_if_idle(self) -> None:
        """Closes the connection if it has been idle for `HEALTH_CHECK_IDLE_TIMEOUT_MS`.

        No health check may be in flight.
        """
        if self._sock and self._clock.now_ms() - self._last_used_ms > HEALTH_CHECK_IDLE_TIMEOUT_MS:
            self.disconnect()
