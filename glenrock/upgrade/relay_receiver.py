"""Takes over the established relays of this process's predecessor."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from typing import NamedTuple

from ..log import get_logger
from ..net.client_connection import ClientConnection
from ..net.connection_table import ConnectionTable
from ..net.rate_limit import RateLimit
from ..net.socket_io import wait_readable
from .relay_message import (
    ACCEPTED,
    DESCRIPTORS_PER_MESSAGE,
    MAX_MESSAGE_BYTES,
    REJECTED,
    SOCKET_NAME,
    RelayMessageError,
    decode_relay,
)
from .unix_socket import listen

LISTEN_BACKLOG = 4
MAX_PREDECESSORS = 4  # connections at once; further ones are closed
REJECTION_INTERVAL_MS = 10.0  # between rejected messages of a predecessor that never pauses
REJECTION_BURST = 64  # messages
MAX_RECEIVED_DESCRIPTORS = 4  # more than `DESCRIPTORS_PER_MESSAGE`, so that a message with too many is noticed

logger = get_logger(__name__)


class _ReceivedMessage(NamedTuple):
    """One message and its descriptors. `data` is empty once the predecessor has closed the connection."""

    data: bytes
    descriptors: list[int]


class RelayReceiver:
    """Listens on the Unix socket that the predecessor connects to.

    Attributes:
        socket_inode: the inode of the socket's file; 0 while this process does not listen.
    """

    def __init__(self, folder: str, table: ConnectionTable) -> None:
        self.socket_inode = 0
        self._folder = folder
        self._table = table
        self._listening_socket: socket.socket | None = None
        self._accepted_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self) -> None:
        """Starts to take over relays. If the socket cannot be bound, the predecessor migrates its clients instead."""
        try:
            sock, self.socket_inode = listen(self._folder, SOCKET_NAME, LISTEN_BACKLOG)
        except OSError as error:
            logger.warning("relays cannot be taken over", error=error)
            return
        self._listening_socket = sock
        asyncio.get_running_loop().add_reader(sock, self._accept, sock)

    def _accept(self, listening_socket: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock, _ = listening_socket.accept()
            if len(self._tasks) >= MAX_PREDECESSORS:
                logger.warning("too many connections of predecessors, closing the new one")
                sock.close()
                return
            sock.setblocking(False)
            task = asyncio.get_running_loop().create_task(self._serve(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: socket.socket) -> None:
        """Answers the messages of one predecessor until it closes the connection."""
        loop = asyncio.get_running_loop()
        accepted_before = self._accepted_count
        limit = RateLimit(REJECTION_INTERVAL_MS, REJECTION_BURST)
        with sock:
            while (message := await _receive(loop, sock)).data:
                answer = self._answer(message)
                if answer == REJECTED:
                    await self._table.clock.sleep(limit.reserve(self._table.clock.now_ms()))
                with contextlib.suppress(OSError):
                    sock.send(answer)
        logger.info("relays taken over", relays=self._accepted_count - accepted_before)

    def _answer(self, message: _ReceivedMessage) -> bytes:
        """Takes over the relay of a message, or closes its descriptors. Returns the answer to send."""
        sockets: list[socket.socket] = []
        try:
            sockets += _sockets_of(message.descriptors)
            connection = self._decode(message.data, sockets)
        except (ValueError, OSError) as error:
            logger.warning("relay rejected", error=error)
            for sock in sockets:
                sock.close()
            return REJECTED
        self._table.add_taken_over(connection)
        self._accepted_count += 1
        return ACCEPTED

    def _decode(self, data: bytes, sockets: list[socket.socket]) -> ClientConnection:
        if len(sockets) != DESCRIPTORS_PER_MESSAGE:
            raise RelayMessageError(f"expected {DESCRIPTORS_PER_MESSAGE} descriptors, got {len(sockets)}")
        client, server = sockets
        return decode_relay(data, self._table, client, server)


def _sockets_of(descriptors: list[int]) -> list[socket.socket]:
    """Returns the sockets with these descriptors.

    Raises:
        OSError: one is no socket; all descriptors are closed then.
    """
    sockets: list[socket.socket] = []
    try:
        for descriptor in descriptors:
            sockets.append(socket.socket(fileno=descriptor))
    except OSError:
        for sock in sockets:
            sock.detach()
        for descriptor in descriptors:
            os.close(descriptor)
        raise
    return sockets


async def _receive(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> _ReceivedMessage:
    while True:
        await wait_readable(loop, sock)
        try:
            data, descriptors, _, _ = socket.recv_fds(sock, MAX_MESSAGE_BYTES, MAX_RECEIVED_DESCRIPTORS)
            return _ReceivedMessage(data, descriptors)
        except BlockingIOError:
            continue
        except OSError:
            return _ReceivedMessage(b"", [])
