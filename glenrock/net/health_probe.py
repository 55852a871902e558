"""Health checks of one server, on a connection that is kept while it is used."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import NamedTuple

from glenrock.routing import interface

from . import protocol
from .clock import Clock, micros
from .endpoint_rows import EndpointRow
from .health_connections import HealthConnections
from .socket_io import close_socket, configure_socket
from .system_errors import is_local

TIMEOUT_MS = 250.0  # a server that leaves a health check unanswered this long has not answered
IDLE_MS = 8000.0  # a connection unused this long is closed


class HealthAnswer(NamedTuple):
    """What came of a question."""

    outcome: interface.AttemptOutcome
    report: dict[str, float]


NO_CONNECTION = HealthAnswer(interface.AttemptOutcome.NO_CONNECTION, {})
NO_ANSWER = HealthAnswer(interface.AttemptOutcome.TIMEOUT, {})
NOT_ASKED = HealthAnswer(interface.AttemptOutcome.UNSENT, {})  # this machine had no way to ask: no word on the server


class HealthProbe:
    """The owner of the connection."""

    def __init__(self, clock: Clock, post: Callable[[interface.Event], bool], pool: HealthConnections) -> None:
        self._clock = clock
        self._post = post
        self._pool = pool
        self._sock: socket.socket | None = None
        self._is_connected = False
        self._used_ms = 0.0

    async def check(self, row: EndpointRow) -> None:
        """Asks the server, and posts what came of it: nothing, where this process has no connection to ask on."""
        sent_ms = self._clock.now()
        answer = NO_ANSWER
        if not self._pool.claim(self):
            self._post(interface.HealthCheckResult(row.name, interface.AttemptOutcome.UNSENT))
            return
        try:
            async with self._clock.limit(TIMEOUT_MS):
                answer = await self._ask(row)
        except OSError as error:
            answer = NOT_ASKED if is_local(error) and not self._is_connected else NO_CONNECTION
        finally:
            if answer.outcome != interface.AttemptOutcome.SERVED:
                self.hang_up()
            self._pool.rest(self)
        self._used_ms = self._clock.now()
        latency_us = micros(self._used_ms - sent_ms)
        self._post(interface.HealthCheckResult(row.name, answer.outcome, latency_us, answer.report))

    async def _ask(self, row: EndpointRow) -> HealthAnswer:
        if self._sock:
            # A server closes a connection that has been idle, perhaps just now. That is no word on its reach: held for
            # one, a sound server would be out of use after two such ends. Asked anew, on another.
            with contextlib.suppress(OSError):
                answer = await self._question(self._sock)
                if answer.outcome != interface.AttemptOutcome.NO_CONNECTION:
                    return answer
            self.hang_up()
        self._is_connected = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        configure_socket(self._sock)
        await asyncio.get_running_loop().sock_connect(self._sock, row.address)
        self._is_connected = True
        return await self._question(self._sock)

    async def _question(self, sock: socket.socket) -> HealthAnswer:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, protocol.STATS)
        buffer = bytearray(protocol.MAX_LINE)
        splitter = protocol.LineSplitter()
        while True:
            count = await loop.sock_recv_into(sock, buffer)
            if not count:
                return NO_CONNECTION
            for line in splitter.feed(bytes(buffer[:count])):
                word, rest = protocol.split_word(line)
                if word != "PONG" and "=" not in word:
                    return HealthAnswer(interface.AttemptOutcome.ERROR, {})
                text = rest if word == "PONG" else word
                if "=" in text:
                    return HealthAnswer(interface.AttemptOutcome.SERVED, protocol.report_of(text))

    def hang_up(self) -> None:
        """Closes the connection."""
        self._pool.leave(self)
        if self._sock:
            close_socket(self._sock)
            self._sock = None

    @property
    def is_open(self) -> bool:
        """Whether a connection is kept."""
        return self._sock is not None

    def close_if_idle(self) -> None:
        """Closes a connection that has been idle; for when no check is out."""
        if self._sock and self._clock.now() - self._used_ms > IDLE_MS:
            self.hang_up()
