"""An HTTP client for service discovery, which reuses one connection."""

from __future__ import annotations

import asyncio
import json
import re
import socket
from collections.abc import Coroutine
from typing import Any, NamedTuple

import httptools

from ..config import Address
from .clock import Clock, TimeLimit
from .response_progress import ResponseProgress
from .socket_io import close_socket, create_socket, recv_into

OVERLOAD_STATUSES = (429, 503)
HTTP_OK = 200
MAX_RESPONSE_BYTES = 4 << 20  # of the body
MAX_HEAD_BYTES = 65_536
MAX_CONTAINERS = 16_400  # objects and arrays of a response: its rows, and the few around them
MAX_VALUES = 262_144  # sixteen of each row
CONTENT_LENGTH_PATTERN = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,12})[ \t]*\r\n", re.IGNORECASE)
READ_BUFFER_BYTES = 16384
# A connection that is closed sooner after a request had been closed by discovery while it was idle. A request that has
# waited longer may have been queued, and must not be repeated at once.
STALE_CONNECTION_MS = 200.0


class DiscoveryError(OSError):
    """A call to discovery failed."""


class DiscoveryOverloadedError(DiscoveryError):
    """Discovery rejected the call because it is overloaded. The last list stays valid."""


class DiscoveryStatusError(DiscoveryError):
    """Discovery responded with a status other than 200."""


class DiscoveryClosedError(DiscoveryError):
    """Discovery closed the connection, in order or by a reset, before the first byte of its response."""


class DiscoveryTimeoutError(DiscoveryError):
    """Discovery did not respond in time, or the wait was interrupted."""


class DiscoveryInterruptedError(DiscoveryTimeoutError):
    """The wait was interrupted, since the call has become pointless."""


class ResponseTimeouts(NamedTuple):
    """The time limits of a call, in milliseconds.

    Attributes:
        first_bytes_ms: until the first bytes of the response, with the connect.
        whole_ms: from the first bytes until the response is complete; `ResponseProgress` says when it may take longer.
    """

    first_bytes_ms: float
    whole_ms: float


class HttpResponse:
    """An HTTP response, assembled by callbacks of the httptools parser.

    Attributes:
        body: the bytes of the body received so far.
        max_body_bytes: the length of the body that the head states, or else the largest that is accepted.
        has_begun: whether any byte has been received.
        is_complete: whether the whole response has been received.
        keeps_alive: whether the connection can be reused; known once the response is complete.
        parser: the parser, to which received bytes are fed.
    """

    def __init__(self) -> None:
        self.body = bytearray()
        self.max_body_bytes = MAX_RESPONSE_BYTES
        self.has_begun = False
        self.is_complete = False
        self.keeps_alive = False
        self._head = bytearray()  # with the first bytes of the body; empty once it is parsed
        self._has_head = False
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parses further bytes.

        Raises:
            DiscoveryError: the head or the body is too large.
        """
        self.has_begun = True
        if not self._has_head:
            self._head += data
        self.parser.feed_data(data)
        if not self._has_head and len(self._head) > MAX_HEAD_BYTES:
            raise DiscoveryError("the head of the response is too large")
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise DiscoveryError("the response is too large")

    def on_headers_complete(self) -> None:
        """Reads the length of the body."""
        # No callback for each header: httptools would collect a value of any length for it.
        self._has_head = True
        if match := CONTENT_LENGTH_PATTERN.search(self._head):
            self.max_body_bytes = min(int(match[1]), MAX_RESPONSE_BYTES)
        self._head.clear()

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Records the end of the response."""
        self.is_complete = True
        # Read here, since the parser resets its state after this callback. Read later, each call would take a new
        # connection.
        self.keeps_alive = self.parser.should_keep_alive()


def _check_structure(body: bytearray) -> None:
    """Checks how many objects the parser would make of a body: short ones take twenty times their bytes.

    Raises:
        ValueError: there are too many.
    """
    if body.count(b"{") + body.count(b"[") > MAX_CONTAINERS or body.count(b",") > MAX_VALUES:
        raise ValueError(f"the response has more than {MAX_CONTAINERS} objects or {MAX_VALUES} values")


class DiscoveryClient:
    """Sends requests to discovery, one at a time, on a connection that stays open between them.

    Attributes:
        address: the address of discovery; a change takes effect at the next request.
    """

    def __init__(self, address: Address, clock: Clock) -> None:
        self.address = address
        self._clock = clock
        self._sock: socket.socket | None = None
        self._connected_address = address  # of `_sock`
        self._time_limit: TimeLimit | None = None  # of the wait in progress
        self._is_interrupted = False

    async def get(self, path: str, timeouts: ResponseTimeouts) -> Any:
        """Returns the decoded JSON body of a response.

        Args:
            path: the path of the request, with its query.
            timeouts: the time limits of the call.

        Raises:
            DiscoveryOverloadedError, DiscoveryStatusError: discovery rejected the call.
            DiscoveryTimeoutError: the response did not begin, or was not complete, in time.
            DiscoveryClosedError: the connection was closed before the response.
            DiscoveryError: the response is too large, or the connection was closed within it.
            OSError: discovery cannot be reached.
            ValueError: the body is not JSON, or has too many values.
        """
        response = await self._exchange(path, timeouts)
        if not response.keeps_alive:
            self.disconnect()
        status = response.parser.get_status_code()
        if status in OVERLOAD_STATUSES:
            raise DiscoveryOverloadedError(f"status {status}: overloaded")
        if status != HTTP_OK:
            raise DiscoveryStatusError(f"status {status}")
        _check_structure(response.body)
        return json.loads(bytes(response.body))

    async def run_with_timeout(self, timeout_ms: float, coroutine: Coroutine[None, None, Any]) -> Any:
        """Returns the result of a coroutine.

        Raises:
            DiscoveryTimeoutError: the coroutine took longer than `timeout_ms`.
            DiscoveryInterruptedError: `interrupt` was called.
        """
        self._is_interrupted = False
        async with self._clock.time_limit(timeout_ms) as self._time_limit:
            try:
                return await coroutine
            finally:
                self._time_limit = None
        if self._is_interrupted:
            raise DiscoveryInterruptedError("interrupted")
        raise DiscoveryTimeoutError("no response in time")

    def interrupt(self) -> None:
        """Ends the wait in progress, which raises `DiscoveryInterruptedError`."""
        if self._time_limit:
            self._is_interrupted = True
            self._time_limit.expire()

    def disconnect(self) -> None:
        """Closes the connection."""
        if self._sock:
            close_socket(self._sock)
            self._sock = None

    async def _connect(self) -> socket.socket:
        if self._connected_address != self.address:
            self.disconnect()
        if self._sock is None:
            self._sock = create_socket()
            self._connected_address = self.address
            await asyncio.get_running_loop().sock_connect(self._sock, self.address)
        return self._sock

    async def _exchange(self, path: str, timeouts: ResponseTimeouts) -> HttpResponse:
        """Sends a request and reads the response."""
        response = HttpResponse()
        buffer = bytearray(READ_BUFFER_BYTES)
        await self.run_with_timeout(timeouts.first_bytes_ms, self._send_request(path, response, buffer))
        progress = ResponseProgress(self._clock.now_ms(), timeouts.whole_ms)
        while not response.is_complete:
            remaining_ms = progress.next_check_ms - self._clock.now_ms()
            if remaining_ms > 0:
                await self._read_for(remaining_ms, response, buffer)
            elif not progress.may_continue(len(response.body), response.max_body_bytes):
                raise DiscoveryTimeoutError(f"response not complete in time: {len(response.body)} bytes of its body")
        return response

    async def _read_for(self, duration_ms: float, response: HttpResponse, buffer: bytearray) -> None:
        """Reads until the response is complete, or for a duration."""
        try:
            await self.run_with_timeout(duration_ms, self._read_to_end(response, buffer))
        except DiscoveryInterruptedError:
            raise
        except DiscoveryTimeoutError:
            return

    async def _read_to_end(self, response: HttpResponse, buffer: bytearray) -> None:
        while not response.is_complete:
            await self._read(response, buffer)

    async def _send_request(self, path: str, response: HttpResponse, buffer: bytearray) -> None:
        """Sends a request and reads the first bytes of the response, on another connection if the open one is stale."""
        is_reused = self._sock is not None and self._connected_address == self.address
        started_ms = self._clock.now_ms()
        try:
            await self._try_request(path, response, buffer)
        except (DiscoveryClosedError, ConnectionError):
            if not is_reused or self._clock.now_ms() - started_ms > STALE_CONNECTION_MS:
                raise
            self.disconnect()
            await self._try_request(path, response, buffer)

    async def _try_request(self, path: str, response: HttpResponse, buffer: bytearray) -> None:
        """Connects if necessary, sends a request and reads the first bytes of the response."""
        sock = await self._connect()
        request = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()
        await asyncio.get_running_loop().sock_sendall(sock, request)
        await self._read(response, buffer)

    async def _read(self, response: HttpResponse, buffer: bytearray) -> None:
        assert self._sock is not None, "the request was sent on a connection"
        try:
            count = await recv_into(asyncio.get_running_loop(), self._sock, buffer)
        except ConnectionResetError:
            count = 0
        if not count and not response.has_begun:
            raise DiscoveryClosedError("discovery closed the connection before its response")
        if not count:
            raise DiscoveryError("discovery closed the connection within its response")
        response.feed(bytes(buffer[:count]))
