"""Tells the successors in an upgrade what this process has been told, at their start and from then on."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable

from ..log import get_logger
from ..net.mailbox import Mailbox
from .state_connection import StateConnection
from .state_message import (
    SOCKET_NAME,
    Greeting,
    ManualDrain,
    ServerSends,
    SnapshotEnd,
    StateChange,
    StateSnapshot,
    encode,
    encode_change,
)
from .unix_socket import create_unix_socket, listen, socket_address

LISTEN_BACKLOG = 4
MAX_SUCCESSORS = 4  # connections at once; further ones are closed
MAX_QUEUED_CHANGES = 64  # of one successor; one that reads more slowly gets the whole list instead

logger = get_logger(__name__)


class StateSender:
    """Listens on the Unix socket that a successor connects to as it starts, and keeps each connection.

    Args:
        folder: the folder that both processes of an upgrade share.
        balancer: the configured name of this balancer.
        read_state: returns what this process has been told.
        on_drain: called with each change of a successor's manual drain.
    """

    def __init__(
        self,
        folder: str,
        balancer: str,
        read_state: Callable[[], StateSnapshot],
        on_drain: Callable[[ManualDrain], None],
    ) -> None:
        self._folder = folder
        self._balancer = balancer
        self._read_state = read_state
        self._on_drain = on_drain
        self._socket: socket.socket | None = None
        self._inode = 0  # of the socket's file
        self._queues: dict[asyncio.Task[None], Mailbox[StateChange]] = {}  # by the task that serves a successor

    def listen(self) -> None:
        """Starts to accept successors. If the socket cannot be bound, a successor starts with its configured list."""
        loop = asyncio.get_running_loop()
        if self._socket:
            loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        try:
            self._socket, self._inode = listen(self._folder, SOCKET_NAME, LISTEN_BACKLOG)
        except OSError as error:
            logger.warning("successors cannot be told the endpoint list", error=error)
            return
        loop.add_reader(self._socket, self._accept, self._socket)

    @property
    def has_successors(self) -> bool:
        """Whether a successor is connected."""
        return bool(self._queues)

    def publish(self, change: StateChange) -> None:
        """Tells all connected successors a change."""
        for queue in self._queues.values():
            if isinstance(change, ServerSends):  # once for each server, as this process stops
                queue.put_unbounded(change)
            elif not queue.try_put(change):
                queue.messages.clear()
                snapshot = self._read_state()
                queue.put_unbounded(snapshot.manual_drain)
                queue.put_unbounded(snapshot.reported)

    def _accept(self, listening_socket: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock, _ = listening_socket.accept()
            if len(self._queues) >= MAX_SUCCESSORS:
                logger.warning("too many connections of successors, closing the new one")
                sock.close()
                return
            sock.setblocking(False)
            queue: Mailbox[StateChange] = Mailbox(MAX_QUEUED_CHANGES)
            task = asyncio.get_running_loop().create_task(self._serve(StateConnection(sock), queue))
            self._queues[task] = queue
            task.add_done_callback(self._queues.pop)

    async def _serve(self, connection: StateConnection, queue: Mailbox[StateChange]) -> None:
        """Sends the snapshot and then the changes, until the successor closes the connection."""
        with contextlib.closing(connection):
            sending = asyncio.get_running_loop().create_task(self._send(connection, queue))
            reading = asyncio.get_running_loop().create_task(connection.read_drains(self._on_drain))
            await asyncio.wait([sending, reading], return_when=asyncio.FIRST_COMPLETED)
            for task in (sending, reading):
                task.cancel()
            for result in await asyncio.gather(sending, reading, return_exceptions=True):
                if isinstance(result, Exception):  # a fault here must not end the process
                    logger.error("unexpected error while a successor was told", error=repr(result))
        logger.info("connection of a successor ended")
        self._replace_dead_socket()

    async def _send(self, connection: StateConnection, queue: Mailbox[StateChange]) -> None:
        with contextlib.suppress(OSError):
            await connection.send(encode(Greeting(self._balancer)))
            snapshot = self._read_state()
            reported = snapshot.reported
            await self._send_change(connection, snapshot.manual_drain)
            await self._send_change(connection, reported)
            await connection.send(encode(SnapshotEnd()))
            logger.info("successor told the endpoint list", servers=len(reported.servers), version=reported.version)
            while True:
                await self._send_change(connection, await queue.get())

    async def _send_change(self, connection: StateConnection, change: StateChange) -> None:
        for data in encode_change(change):
            await connection.send(data)

    def _replace_dead_socket(self) -> None:
        """Listens again if a successor had put its socket in the place of this one's, and has died."""
        with contextlib.suppress(OSError), socket_address(self._folder, SOCKET_NAME) as path:
            if os.stat(path).st_ino == self._inode:
                return
            with create_unix_socket() as probe:
                try:
                    probe.connect(path)
                except ConnectionRefusedError:
                    self.listen()
