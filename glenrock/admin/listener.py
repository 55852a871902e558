"""Serves operators' HTTP connections. Limits their number and duration, so that they do not delay clients."""

from __future__ import annotations

import asyncio
import functools
import socket

from ..config import Address
from ..log import get_logger
from ..net.clock import Clock
from ..net.listening_socket import listen
from ..net.rate_limit import RateLimit
from ..net.socket_io import configure_socket
from . import routes
from .http_message import HttpRequest, HttpResponse

MAX_OPERATOR_CONNECTIONS = 32
# Includes the listening socket, and the connection that is accepted before the oldest one is closed.
RESERVED_DESCRIPTORS = MAX_OPERATOR_CONNECTIONS + 2
REQUEST_TIMEOUT_MS = 5000.0
LINGER_TIMEOUT_MS = 500.0
MAX_LINGER_BYTES = 65_536
READ_BUFFER_BYTES = 4096
ACCEPT_RETRY_DELAY_MS = 20
ACCEPT_INTERVAL_MS = 3.0  # between connections that come without a pause; those in between wait in the kernel
ACCEPT_BURST = 32  # connections that are accepted at once

logger = get_logger(__name__)


class Listener:
    """Accepts operators' connections, and answers one request on each.

    Attributes:
        listening_socket: the socket that accepts connections; None before `listen`.
        connection_tasks: the tasks that serve the open connections, oldest first.
    """

    def __init__(self, operations: routes.Operations, clock: Clock) -> None:
        self.listening_socket: socket.socket | None = None
        self.connection_tasks: dict[asyncio.Task[None], None] = {}
        self._operations = operations
        self._clock = clock
        self._responding_tasks: dict[asyncio.Task[None], None] = {}  # those that are sending the response

    def listen(self, address: Address) -> None:
        """Binds the listening socket.

        Raises:
            OSError: the address is in use, or does not belong to this machine.
        """
        self.listening_socket = listen(address, MAX_OPERATOR_CONNECTIONS)

    async def accept(self) -> None:
        """Accepts connections as long as the process runs."""
        if self.listening_socket is None:
            raise RuntimeError("accept() was called before listen()")
        loop = asyncio.get_running_loop()
        limit = RateLimit(ACCEPT_INTERVAL_MS, ACCEPT_BURST)
        while True:
            if delay_ms := limit.delay_ms(self._clock.now_ms()):
                await self._clock.sleep(delay_ms)
            try:
                sock, _ = await loop.sock_accept(self.listening_socket)
            except OSError as error:  # the connection was reset before it was accepted, or no descriptor is free
                logger.warning("operator connection not accepted", error=error)
                self._close_oldest()
                await self._clock.sleep(ACCEPT_RETRY_DELAY_MS)
                continue
            limit.record(self._clock.now_ms())
            self._start_connection(loop, sock)
            # sock_accept does not yield to the event loop while connections are pending.
            await asyncio.sleep(0)

    def _start_connection(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        task = loop.create_task(self._serve_connection(sock))
        self.connection_tasks[task] = None
        task.add_done_callback(functools.partial(self._close_connection, sock))
        if len(self.connection_tasks) > MAX_OPERATOR_CONNECTIONS:
            self._close_oldest()

    def _close_connection(self, sock: socket.socket, task: asyncio.Task[None]) -> None:
        self._remove_task(task)
        sock.close()

    def _remove_task(self, task: asyncio.Task[None]) -> None:
        self.connection_tasks.pop(task, None)
        self._responding_tasks.pop(task, None)

    def _close_oldest(self) -> None:
        """Closes the oldest connection whose response is being sent; if there is none, the oldest connection.

        A call whose response is being sent has been carried out; a call without a response may not have been.
        """
        oldest = next(iter((*self._responding_tasks, *self.connection_tasks)), None)
        if oldest is None:
            return
        logger.warning("too many operator connections, closing the oldest", open_connections=len(self.connection_tasks))
        self._remove_task(oldest)
        oldest.cancel()

    async def _serve_connection(self, sock: socket.socket) -> None:
        try:
            configure_socket(sock)
            request = HttpRequest()
            response: HttpResponse | None = None
            async with self._clock.time_limit(REQUEST_TIMEOUT_MS) as limit:
                while not request.is_complete and response is None:
                    data = await self._read(sock)
                    if not data:
                        return
                    response = request.feed(data)
            if limit.has_expired:
                response = HttpResponse(408, f"request not complete within {REQUEST_TIMEOUT_MS / 1000:.0f} s\n")
            if response is None:
                response = await self._respond(request)
            self._mark_responding()
            await self._send(sock, response)
        except OSError:
            pass  # the caller has closed the connection

    async def _read(self, sock: socket.socket) -> bytes:
        buffer = bytearray(READ_BUFFER_BYTES)
        count = await asyncio.get_running_loop().sock_recv_into(sock, buffer)
        return bytes(buffer[:count])

    def _mark_responding(self) -> None:
        if task := asyncio.current_task():
            self._responding_tasks[task] = None

    async def _send(self, sock: socket.socket, response: HttpResponse) -> None:
        """Sends the response, then reads until the caller closes the connection.

        Closing a socket with unread bytes resets the connection, and the caller may lose the response.
        """
        bytes_left = MAX_LINGER_BYTES
        async with self._clock.time_limit(LINGER_TIMEOUT_MS):
            await asyncio.get_running_loop().sock_sendall(sock, response.encode())
            sock.shutdown(socket.SHUT_WR)
            while bytes_left > 0 and (data := await self._read(sock)):
                bytes_left -= len(data)

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        try:
            return await routes.respond(self._operations, request.method, request.target)
        except Exception:
            logger.exception("operator call failed", method=request.method, target=f"{request.target!r:.200}")
            return HttpResponse(500, "internal error; the log has the traceback\n")
