"""The operators' sockets: few, short, and never in the way of clients."""

from __future__ import annotations

import asyncio
import socket
import traceback

from ..config import Address
from ..log import say
from ..net.clock import Clock
from ..net.socket_io import configure_socket
from . import routes
from .call import Answer, Call

MOST = 32  # connections; past that the oldest goes that has not finished its call
DESCRIPTORS = MOST + 2  # that all of this takes at most
CALL_MS = 5000.0  # a whole call is due by then
LINGER_MS = 500.0  # an answered caller has this long to take its answer and end
LINGER_BYTES = 65_536


class Listener:
    def __init__(self, operations: routes.Operations, clock: Clock) -> None:
        self.operations, self.clock = operations, clock
        self.open: dict[asyncio.Task, None] = {}  # callers, oldest first
        self.answered: dict[asyncio.Task, None] = {}  # of them, those that have had their answer
        self.sock: socket.socket | None = None

    def listen(self, address: Address) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(MOST)

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
            except OSError as bad:  # the listener must outlive a caller that left, and a lack of descriptors
                say("admin", f"no connection taken: {bad}")
                self.shed()
                await self.clock.sleep(20)
                continue
            task = loop.create_task(self.caller(sock))
            self.open[task] = None
            task.add_done_callback(lambda task, sock=sock: self.leave(task, sock))
            if len(self.open) > MOST:
                self.shed()
            # Danger: while callers are pending sock_accept returns without a turn of the loop.
            await asyncio.sleep(0)

    def leave(self, task: asyncio.Task, sock: socket.socket) -> None:
        self.open.pop(task, None)
        self.answered.pop(task, None)
        sock.close()

    def shed(self) -> None:
        """Makes room: first of callers that have their answer, then of those that say nothing, or half a call."""
        for task in (*self.answered, *self.open):
            say("admin", f"{len(self.open)} callers: the oldest that has no call to answer is closed")
            self.open.pop(task, None)
            self.answered.pop(task, None)
            task.cancel()
            return

    async def caller(self, sock: socket.socket) -> None:
        loop, buffer, call, answer = asyncio.get_running_loop(), bytearray(4096), Call(), None
        try:
            configure_socket(sock)
            async with self.clock.limit(CALL_MS) as limit:
                while not call.whole and answer is None:
                    count = await loop.sock_recv_into(sock, buffer)
                    if not count:
                        return
                    answer = call.feed(bytes(buffer[:count]))
            if limit.over:
                answer = Answer(408, f"no whole call came within {CALL_MS / 1000:.0f} s\n")
            if answer is None:
                answer = await self.work(call)
            self.answered[asyncio.current_task()] = None
            left = LINGER_BYTES
            async with self.clock.limit(LINGER_MS):
                await loop.sock_sendall(sock, answer.encode())
                sock.shutdown(socket.SHUT_WR)
                # A close with bytes unread resets the connection, and the answer may be lost with it.
                while left > 0 and (count := await loop.sock_recv_into(sock, buffer)):
                    left -= count
        except OSError:
            pass

    async def work(self, call: Call) -> Answer:
        try:
            return await routes.answer(self.operations, call.method, call.target)
        except Exception:
            say("admin", f"{call.method} {call.target!r:.200} failed: " + traceback.format_exc(limit=-3))
            return Answer(500, "the balancer failed on this call; its log says where\n")
