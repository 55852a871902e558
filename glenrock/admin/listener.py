"""The operators' sockets: few, short, and never in the way of clients."""

from __future__ import annotations

import asyncio
import functools
import socket
import traceback

from ..config import Address
from ..log import say
from ..net.clock import Clock
from ..net.socket_io import configure_socket
from . import routes
from .http_message import HttpRequest, HttpResponse

MAX_CALLERS = 32  # connections; past that the oldest is closed that has not finished its request
RESERVED_DESCRIPTORS = MAX_CALLERS + 2  # that all of this takes at most
REQUEST_MS = 5000.0  # a whole request is due by then
LINGER_MS = 500.0  # an answered caller has this long to take its response and end
LINGER_BYTES = 65_536
BUFFER_BYTES = 4096
ACCEPT_RETRY_MS = 20


class Listener:
    """Accepts operators' connections, and answers one request on each.

    Attributes:
        listening_socket: the listening socket; None before `listen`.
        callers: the tasks of open connections, oldest first.
    """

    def __init__(self, operations: routes.Operations, clock: Clock) -> None:
        self.listening_socket: socket.socket | None = None
        self.callers: dict[asyncio.Task[None], None] = {}
        self._operations = operations
        self._clock = clock
        self._answered: dict[asyncio.Task[None], None] = {}  # of the callers, those that have had their response

    def listen(self, address: Address) -> None:
        """Binds the address.

        Raises:
            OSError: it is in use, or no address of this machine.
        """
        self.listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening_socket.setblocking(False)
        self.listening_socket.bind(address)
        self.listening_socket.listen(MAX_CALLERS)

    async def accept(self) -> None:
        """Accepts callers for as long as the process runs."""
        if self.listening_socket is None:
            raise RuntimeError("listen comes before accept")
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.listening_socket)
            except OSError as error:  # the listener must outlive a caller that left, and a lack of descriptors
                say("admin", f"no connection taken: {error}")
                self._close_oldest()
                await self._clock.sleep(ACCEPT_RETRY_MS)
                continue
            self._serve(loop, sock)
            # While callers are pending sock_accept returns without a turn of the loop.
            await asyncio.sleep(0)

    def _serve(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        task = loop.create_task(self._answer_caller(sock))
        self.callers[task] = None
        task.add_done_callback(functools.partial(self._release, sock))
        if len(self.callers) > MAX_CALLERS:
            self._close_oldest()

    def _release(self, sock: socket.socket, task: asyncio.Task[None]) -> None:
        self._forget(task)
        sock.close()

    def _forget(self, task: asyncio.Task[None]) -> None:
        self.callers.pop(task, None)
        self._answered.pop(task, None)

    def _close_oldest(self) -> None:
        """Makes room: first of callers that have their response, then of those with no whole request."""
        oldest = next(iter((*self._answered, *self.callers)), None)
        if oldest is None:
            return
        say("admin", f"{len(self.callers)} callers: the oldest that has no call to answer is closed")
        self._forget(oldest)
        oldest.cancel()

    async def _answer_caller(self, sock: socket.socket) -> None:
        try:
            configure_socket(sock)
            request = HttpRequest()
            response: HttpResponse | None = None
            async with self._clock.limit(REQUEST_MS) as limit:
                while not request.complete and response is None:
                    data = await self._read(sock)
                    if not data:
                        return
                    response = request.feed(data)
            if limit.over:
                response = HttpResponse(408, f"no whole call came within {REQUEST_MS / 1000:.0f} s\n")
            if response is None:
                response = await self._respond(request)
            self._mark_answered()
            await self._send(sock, response)
        except OSError:
            pass  # the caller is gone

    async def _read(self, sock: socket.socket) -> bytes:
        buffer = bytearray(BUFFER_BYTES)
        count = await asyncio.get_running_loop().sock_recv_into(sock, buffer)
        return bytes(buffer[:count])

    def _mark_answered(self) -> None:
        if task := asyncio.current_task():
            self._answered[task] = None

    async def _send(self, sock: socket.socket, response: HttpResponse) -> None:
        """Sends the response, and awaits the caller's end.

        A close with bytes unread resets the connection, and the response may be lost with it.
        """
        left = LINGER_BYTES
        async with self._clock.limit(LINGER_MS):
            await asyncio.get_running_loop().sock_sendall(sock, response.encode())
            sock.shutdown(socket.SHUT_WR)
            while left > 0 and (data := await self._read(sock)):
                left -= len(data)

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        try:
            return await routes.respond(self._operations, request.method, request.target)
        except Exception:  # noqa: BLE001 - the edge of this actor: logged with its traceback
            say("admin", f"{request.method} {request.target!r:.200} failed: " + traceback.format_exc(limit=-3))
            return HttpResponse(500, "the balancer failed on this call; its log says where\n")
