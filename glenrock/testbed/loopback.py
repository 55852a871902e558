"""Loopback addresses of a run, and listeners that can refuse connections or leave them unanswered."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

Address = tuple[str, int]
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]

NETWORKS_PER_BYTE, NETWORKS = 60, 60 * 250
FIRST_NETWORK = 64  # the second byte of the first network
CLIENT_PORT, PEER_PORT, ADMIN_PORT = 8080, 8081, 8082
STAND_IN_HOST = 250
FIRST_STAND_IN_PORT = 20_001
BACKLOG = 1024
MAX_ACCEPTS = 64  # in a row, before the loop serves others
MAX_LINE_BYTES = 1 << 16
FULL_BACKLOG, FILLERS = 1, 4  # the kernel takes one connection more than the backlog, and some that are half open
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER without time: close sends RST


class LoopbackNetwork:
    """A network of 127.0.0.0/8 for one run, chosen by a number or the process id, so that parallel runs are apart."""

    def __init__(self, number: int | None = None) -> None:
        chosen = (os.getpid() if number is None else number) % NETWORKS
        self.prefix = f"127.{FIRST_NETWORK + chosen % NETWORKS_PER_BYTE}.{chosen // NETWORKS_PER_BYTE}"
        self.next_port = FIRST_STAND_IN_PORT

    def balancer(self, number: int) -> Address:
        """Returns where clients connect to a balancer."""
        return f"{self.prefix}.{1 + number}", CLIENT_PORT

    def peer(self, number: int) -> Address:
        """Returns where a balancer receives gossip."""
        return f"{self.prefix}.{1 + number}", PEER_PORT

    def admin(self, number: int) -> Address:
        """Returns where operators call a balancer."""
        return f"{self.prefix}.{1 + number}", ADMIN_PORT

    def next(self) -> Address:
        """Returns an address that no stand-in of this run has had."""
        port = self.next_port
        self.next_port += 1
        return f"{self.prefix}.{STAND_IN_HOST}", port


def format_address(address: Address) -> str:
    """Returns `host:port`."""
    return f"{address[0]}:{address[1]}"


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with RST: the other end reads ECONNRESET."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        with contextlib.suppress(OSError):  # closed already
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


class Listener:
    """A TCP address that accepts connections, refuses them, or leaves them unanswered."""

    def __init__(self, address: Address, serve: Serve) -> None:
        self.address = address
        self._serve = serve
        self._socket: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_open(self) -> bool:
        """Whether the address is bound."""
        return self._socket is not None

    def open(self) -> None:
        """Accepts connections; does nothing if it already does."""
        if self._socket is None:
            self._socket = socket.create_server(self.address, backlog=BACKLOG)
            self._socket.setblocking(False)
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ACCEPTS):
            if self._socket is None:
                return
            try:
                accepted, sender = self._socket.accept()
            except OSError:
                return  # none is waiting
            accepted.setblocking(False)
            if any(sender == filler.getsockname() for filler in self._fillers):
                accepted.close()
                continue
            task = loop.create_task(self._serve_connection(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.connect_accepted_socket(lambda: protocol, accepted)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # the other side is gone, or a line was too long
        finally:
            writer.close()

    def leave_unanswered(self) -> None:
        """Answers no SYN: accepting is off and the kernel's queue is full."""
        if self._socket is None or self._fillers:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.listen(FULL_BACKLOG)
        for _ in range(FULL_BACKLOG + FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def answer_again(self) -> None:
        """Ends `leave_unanswered`; waiting connections come up with the kernel's next SYN."""
        if not self._fillers or self._socket is None:
            return
        self._socket.listen(BACKLOG)
        self._accept()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def refuse(self) -> None:
        """Unbinds the address: new connections are refused."""
        self.answer_again()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def close(self) -> None:
        """Unbinds the address and ends the connections."""
        self.refuse()
        for task in self._tasks:
            task.cancel()
