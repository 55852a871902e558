"""Hands the established relays of a stopping process over to its successor."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

from ..log import get_logger
from ..net.client_connection import ClientConnection
from ..net.clock import Clock
from ..net.socket_io import recv_into
from .relay_message import ACCEPTED, SOCKET_NAME, encode_relay
from .unix_socket import create_unix_socket, socket_address

ANSWER_TIMEOUT_MS = 1000.0
MAX_ANSWER_BYTES = 64

logger = get_logger(__name__)


class SuccessorNotFoundError(OSError):
    """There is no successor, or it has ended."""


class RelaySender:
    """Implements `net.graceful_shutdown.Successor` with messages to the successor's Unix socket.

    Attributes:
        handed_over_count: relays that the successor accepted, or did not answer in time.
    """

    def __init__(self, folder: str, clock: Clock, own_inode: int, load_of: Callable[[str], int]) -> None:
        """Creates a sender that is not connected yet.

        Args:
            folder: shared by both processes of the upgrade.
            clock: the program's clock.
            own_inode: the inode of this process's own relay socket; 0 if it has none.
            load_of: returns the last reported load of the request with that id.
        """
        self.handed_over_count = 0
        self._sock: socket.socket | None = None
        self._folder = folder
        self._clock = clock
        self._own_inode = own_inode
        self._load_of = load_of
        self._exchange_lock = asyncio.Lock()  # one message and its answer at a time

    @property
    def is_connected(self) -> bool:
        """Whether the successor is connected. False before `connect`, and once the successor has ended."""
        return self._sock is not None

    def connect(self) -> bool:
        """Connects to the successor. Returns False if there is none."""
        sock = create_unix_socket()
        try:
            self._connect(sock)
        except OSError as error:
            sock.close()
            logger.warning("no successor found, migrating clients instead of handing them over", error=error)
            return False
        self._sock = sock
        return True

    def _connect(self, sock: socket.socket) -> None:
        with socket_address(self._folder, SOCKET_NAME) as path:
            if os.stat(path).st_ino == self._own_inode:
                raise SuccessorNotFoundError("no successor")
            sock.connect(path)

    async def hand_over(self, connection: ClientConnection) -> bool:
        """Offers a relay whose pumps have stopped. Returns whether the successor owns it now."""
        async with self._exchange_lock:
            if not self._sock:
                return False
            try:
                is_accepted = await self._offer(self._sock, connection)
            except OSError as error:
                logger.warning("successor lost, migrating the remaining clients", error=error)
                self._disconnect()
                return False
            if is_accepted:
                self.handed_over_count += 1
            return is_accepted

    async def _offer(self, sock: socket.socket, connection: ClientConnection) -> bool:
        """Sends the relay, and returns whether the successor accepted it.

        If no answer comes in time, the relay counts as accepted: the successor may own it already, and a connection
        that two processes read from would be corrupted.

        Raises:
            OSError: the successor has ended, or the message cannot be sent.
        """
        if connection.server_sock is None:
            return False
        data = encode_relay(connection, self._load_of(connection.request_line.request_id))
        answer = bytearray(MAX_ANSWER_BYTES)
        count = 0
        loop = asyncio.get_running_loop()
        socket.send_fds(sock, [data], [connection.sock.fileno(), connection.server_sock.fileno()])
        async with self._clock.time_limit(ANSWER_TIMEOUT_MS) as limit:
            count = await recv_into(loop, sock, answer)
        if limit.has_expired:
            return True
        if not count:
            raise SuccessorNotFoundError("the successor has ended")
        return answer[:count] == ACCEPTED

    def _disconnect(self) -> None:
        if self._sock:
            self._sock.close()
            self._sock = None
