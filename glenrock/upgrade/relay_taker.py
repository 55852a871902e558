"""Takes over standing relays from the process that came before this one."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from typing import NamedTuple

from ..log import say
from ..net.client_connection import ClientConnection
from ..net.connection_table import ConnectionTable
from ..net.socket_io import readable
from .relay_message import (
    ACCEPTED,
    DESCRIPTORS_A_MESSAGE,
    MAX_MESSAGE_BYTES,
    REJECTED,
    RelayMessageError,
    decode_relay,
    socket_address,
)

BACKLOG = 4
MAX_DESCRIPTORS = 4  # received with one message


class _Received(NamedTuple):
    """A message and its descriptors; no data at the end."""

    data: bytes
    descriptors: list[int]


class RelayTaker:
    """The socket at which the process before finds this one. `socket_inode`: of the socket's file, while it is ours."""

    def __init__(self, folder: str, table: ConnectionTable) -> None:
        self.socket_inode = 0
        self._folder = folder
        self._table = table
        self._sock: socket.socket | None = None
        self._taken = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self) -> None:
        """Without a folder, or where it cannot be done, clients are migrated in place of handed over."""
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sock.setblocking(False)
            with socket_address(self._folder) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
                sock.bind(path)
                self.socket_inode = os.stat(path).st_ino
            sock.listen(BACKLOG)
        except OSError as error:
            say("upgrade", f"no relays can be taken over: {error}")
            return
        self._sock = sock
        asyncio.get_running_loop().add_reader(sock, self._accept, sock)

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock, _ = listener.accept()
            sock.setblocking(False)
            task = asyncio.get_running_loop().create_task(self._take_all(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _take_all(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        before = self._taken
        with sock:
            while (received := await _receive(loop, sock)).data:
                answer = self._take(received)
                with contextlib.suppress(OSError):
                    sock.send(answer)
        say("upgrade", f"{self._taken - before} relays taken over")

    def _take(self, received: _Received) -> bytes:
        socks = [socket.socket(fileno=descriptor) for descriptor in received.descriptors]
        try:
            connection = self._connection_of(received.data, socks)
        except (ValueError, OSError) as error:
            say("upgrade", f"a relay is not taken over: {error}")
            for sock in socks:
                sock.close()
            return REJECTED
        self._table.adopt(connection)
        self._taken += 1
        return ACCEPTED

    def _connection_of(self, data: bytes, socks: list[socket.socket]) -> ClientConnection:
        if len(socks) != DESCRIPTORS_A_MESSAGE:
            raise RelayMessageError(f"{len(socks)} descriptors")
        client, server = socks
        return decode_relay(data, self._table, client, server)


async def _receive(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> _Received:
    while True:
        await readable(loop, sock)
        try:
            data, descriptors, _, _ = socket.recv_fds(sock, MAX_MESSAGE_BYTES, MAX_DESCRIPTORS)
            return _Received(data, descriptors)
        except BlockingIOError:
            continue
        except OSError:
            return _Received(b"", [])
