"""One HTTP connection to service discovery, and the answers on it."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Coroutine
from typing import Any

import httptools

from ..config import Address
from .clock import Clock, TimeLimit
from .socket_io import close_socket, create_socket

OVERLOAD_STATUSES = (429, 503)
HTTP_OK = 200
MAX_RESPONSE_BYTES = 4 << 20
READ_TIMEOUT_MS = 400.0  # between two parts of an answer
RESPONSE_TIMEOUT_MS = 30_000.0  # for a whole answer
READ_BYTES = 16384


class DiscoveryError(OSError):
    """A call to discovery failed."""


class DiscoveryOverloadedError(DiscoveryError):
    """Discovery rejected the call because of its load. The last list stays valid."""


class DiscoveryStatusError(DiscoveryError):
    """Discovery answered with another status than 200."""


class DiscoveryTimeoutError(DiscoveryError):
    """Discovery did not answer in time."""


class HttpResponse:
    """Collects one HTTP answer from the callbacks of httptools.

    Attributes:
        body: the bytes of the body so far.
        is_complete: whether the whole answer has been received.
        keeps_alive: whether the connection stays open.
        parser: parses the bytes of the connection.
    """

    def __init__(self) -> None:
        self.body = bytearray()
        self.is_complete = False
        self.keeps_alive = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Records the end of the answer."""
        self.is_complete = True
        # The parser resets its state after this callback.
        self.keeps_alive = self.parser.should_keep_alive()


class DiscoveryClient:
    """Calls discovery on a connection that is kept between calls.

    Attributes:
        address: the address of discovery.
    """

    def __init__(self, address: Address, clock: Clock) -> None:
        self.address = address
        self._clock = clock
        self._sock: socket.socket | None = None
        self._limit: TimeLimit | None = None  # of the present wait

    async def get(self, path: str, timeout_ms: float) -> Any:
        """Returns the JSON of an answer, whose first bytes are awaited for `timeout_ms`.

        Raises:
            DiscoveryOverloadedError, DiscoveryStatusError: discovery rejected the call.
            DiscoveryTimeoutError: no answer came in time.
            DiscoveryError: the answer is too large, or the connection was closed.
            OSError: discovery cannot be reached.
            ValueError: the answer is not JSON.
        """
        answer = await self._exchange(path, timeout_ms)
        if not answer.keeps_alive:
            self.disconnect()
        status = answer.parser.get_status_code()
        if status in OVERLOAD_STATUSES:
            raise DiscoveryOverloadedError(f"status {status}: overloaded")
        if status != HTTP_OK:
            raise DiscoveryStatusError(f"status {status}")
        return json.loads(bytes(answer.body))

    async def run_with_timeout(self, timeout_ms: float, work: Coroutine[None, None, Any]) -> Any:
        """Returns the result of some work.

        Raises:
            DiscoveryTimeoutError: the work took longer, or `interrupt` was called.
        """
        async with self._clock.time_limit(timeout_ms) as self._limit:
            try:
                return await work
            finally:
                self._limit = None
        raise DiscoveryTimeoutError("no answer in time")

    def interrupt(self) -> None:
        """Ends the present wait."""
        if self._limit:
            self._limit.expire()

    def disconnect(self) -> None:
        """Closes the connection."""
        if self._sock:
            close_socket(self._sock)
            self._sock = None

    async def _connect(self) -> socket.socket:
        if self._sock is None:
            self._sock = create_socket()
            await asyncio.get_running_loop().sock_connect(self._sock, self.address)
        return self._sock

    async def _exchange(self, path: str, timeout_ms: float) -> HttpResponse:
        """Sends a request and reads the answer.

        A list of thousands of servers takes long to send. After its first bytes only a silence ends the call, since a
        retry would transfer all of it again.
        """
        answer = HttpResponse()
        buffer = bytearray(READ_BYTES)
        deadline_ms = self._clock.now_ms() + RESPONSE_TIMEOUT_MS
        await self.run_with_timeout(timeout_ms, self._send_request(path, answer, buffer))
        while not answer.is_complete:
            left_ms = min(READ_TIMEOUT_MS, deadline_ms - self._clock.now_ms())
            await self.run_with_timeout(left_ms, self._read(answer, buffer))
        return answer

    async def _send_request(self, path: str, answer: HttpResponse, buffer: bytearray) -> None:
        sock = await self._connect()
        request = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()
        await asyncio.get_running_loop().sock_sendall(sock, request)
        await self._read(answer, buffer)

    async def _read(self, answer: HttpResponse, buffer: bytearray) -> None:
        assert self._sock is not None, "the call has a connection"
        count = await asyncio.get_running_loop().sock_recv_into(self._sock, buffer)
        if not count:
            raise DiscoveryError("discovery closed the connection")
        answer.parser.feed_data(bytes(buffer[:count]))
        if len(answer.body) > MAX_RESPONSE_BYTES:
            raise DiscoveryError("the answer is too large")
