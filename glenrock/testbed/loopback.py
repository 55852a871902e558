"""Addresses of a run, sockets, and the clock that the laboratory's model runs on here."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from typing import Any

S = 1_000_000
Address = tuple[str, int]
BACKLOG, AT_ONCE = 1024, 64
LONGEST = 1 << 16  # bytes of a line
QUEUE, FILL = 1, 4  # connections that the kernel takes while nobody accepts, and enough more to fill it
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: a close that resets


class LoopbackNetwork:
    """A net of loopback addresses of one's own, by the process id, so that runs beside each other never meet."""

    def __init__(self, number: int | None = None) -> None:
        n = (os.getpid() if number is None else number) % (60 * 250)
        self.prefix = f"127.{64 + n % 60}.{n // 60}"
        self.ports = 20000

    def balancer(self, n: int) -> Address:
        return f"{self.prefix}.{1 + n}", 8080

    def peer(self, n: int) -> Address:
        return f"{self.prefix}.{1 + n}", 8081

    def admin(self, n: int) -> Address:
        return f"{self.prefix}.{1 + n}", 8082

    def next(self) -> Address:
        """An address that nobody has had in this run."""
        self.ports += 1
        return f"{self.prefix}.250", self.ports


class RealTimeEngine:
    """The laboratory's `Engine` on the loop's clock: its model of instances runs here in real time.

    `now` counts microseconds from the run's beginning; `day` is when the scene's day began.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.zero, self.day, self.events, self.closed = self.loop.time(), 0, 0, False

    @property
    def now(self) -> int:
        return round((self.loop.time() - self.zero) * S)

    def at(self, time_us: int, call: Callable[..., None], *given: Any) -> None:
        self.loop.call_at(self.zero + time_us / S, self.run_one, call, given)

    def run_one(self, call: Callable[..., None], given: tuple[Any, ...]) -> None:
        self.events += 1
        if not self.closed:
            call(*given)

    def run(self, until_us: int) -> None:
        raise NotImplementedError("the loop runs by itself")


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Resets a connection: whoever is at the other end reads ECONNRESET."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        except OSError:
            pass  # gone already
    writer.transport.abort()


class Listener:
    """A TCP address that can be taken away (connections are refused), fall deaf (none comes up) and come back."""

    def __init__(self, address: Address, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]) -> None:
        self.address, self.serve = address, serve
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        if self.sock is None:
            self.sock = socket.create_server(self.address, backlog=BACKLOG)
            self.sock.setblocking(False)
            asyncio.get_running_loop().add_reader(self.sock, self.accept)

    def accept(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(AT_ONCE):
            try:
                sock, sender = self.sock.accept()  # type: ignore[union-attr]
            except (OSError, AttributeError):
                return  # none is left, or it was taken away just now
            sock.setblocking(False)
            if any(sender == filler.getsockname() for filler in self.fillers):
                sock.close()
                continue
            task = loop.create_task(self.connection(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connection(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=LONGEST)
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.connect_accepted_socket(lambda: protocol, sock)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # the other side is gone, or a line was too long
        finally:
            writer.close()

    def deafen(self) -> None:
        """No connection comes up: nobody accepts, and the kernel's queue is full, so it answers no SYN."""
        if self.sock is None or self.fillers:
            return
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.listen(QUEUE)
        for _ in range(QUEUE + FILL):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def hear(self) -> None:
        """Connections come up again; those that were tried meanwhile with the kernel's next SYN."""
        if not self.fillers or self.sock is None:
            return
        self.sock.listen(BACKLOG)
        self.accept()
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        asyncio.get_running_loop().add_reader(self.sock, self.accept)

    def refuse(self) -> None:
        self.hear()
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def close(self) -> None:
        self.refuse()
        for task in self.tasks:
            task.cancel()
