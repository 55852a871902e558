"""Tells the successor in an upgrade what this process has been told."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from ..log import get_logger
from .state_connection import StateConnection
from .state_message import SOCKET_NAME, Greeting, ReportedList, SnapshotEnd, encode, encode_list
from .unix_socket import listen

LISTEN_BACKLOG = 4
MAX_SUCCESSORS = 4  # connections at once; further ones are closed

logger = get_logger(__name__)


class StateSender:
    """Listens on the Unix socket that the successor connects to as it starts.

    Args:
        folder: the folder that both processes of an upgrade share.
        balancer: the configured name of this balancer.
        read_list: returns the endpoint list of this process.
    """

    def __init__(self, folder: str, balancer: str, read_list: Callable[[], ReportedList]) -> None:
        self._folder = folder
        self._balancer = balancer
        self._read_list = read_list
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self) -> None:
        """Starts to accept successors. If the socket cannot be bound, a successor starts with its configured list."""
        try:
            sock, _ = listen(self._folder, SOCKET_NAME, LISTEN_BACKLOG)
        except OSError as error:
            logger.warning("successors cannot be told the endpoint list", error=error)
            return
        asyncio.get_running_loop().add_reader(sock, self._accept, sock)

    def _accept(self, listening_socket: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock, _ = listening_socket.accept()
            if len(self._tasks) >= MAX_SUCCESSORS:
                logger.warning("too many connections of successors, closing the new one")
                sock.close()
                return
            sock.setblocking(False)
            task = asyncio.get_running_loop().create_task(self._serve(StateConnection(sock)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: StateConnection) -> None:
        with contextlib.closing(connection):
            try:
                await self._send_snapshot(connection)
            except OSError as error:
                logger.info("successor ended before it was told the endpoint list", error=error)

    async def _send_snapshot(self, connection: StateConnection) -> None:
        await connection.send(encode(Greeting(self._balancer)))
        reported = self._read_list()
        for data in encode_list(reported):
            await connection.send(data)
        await connection.send(encode(SnapshotEnd()))
        logger.info("successor told the endpoint list", servers=len(reported.servers), version=reported.version)
