"""Hands standing relays over from a process that was told to stop to the one that came after it."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

from ..log import say
from ..net.client_connection import ClientConnection
from ..net.clock import Clock
from ..net.socket_io import recv_into
from .relay_message import ACCEPTED, encode_relay, socket_address

ANSWER_MS = 1000.0
ANSWER_BYTES = 64


class NoSuccessorError(OSError):
    """Nobody takes relays over."""


class RelayGiver:
    """The successor, as `net.graceful_shutdown` asks for it.

    Attributes:
        handed_over_count: relays that it took.
    """

    def __init__(self, folder: str, clock: Clock, own_inode: int, load_of: Callable[[str], int]) -> None:
        self._sock: socket.socket | None = None
        self.handed_over_count = 0
        self._folder = folder
        self._clock = clock
        self._own_inode = own_inode
        self._load_of = load_of
        self._turn = asyncio.Lock()

    @property
    def is_connected(self) -> bool:
        """Whether the successor can be reached. False before `connect`, and once the successor is gone."""
        return self._sock is not None

    def connect(self) -> bool:
        """Whether there is a successor. What is found may be this process's own socket: then there is none."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self._connect(sock)
        except OSError as error:
            sock.close()
            say("upgrade", f"nobody takes the relays over, so their clients are moved: {error}")
            return False
        self._sock = sock
        return True

    def _connect(self, sock: socket.socket) -> None:
        with socket_address(self._folder) as path:
            if os.stat(path).st_ino == self._own_inode:
                raise NoSuccessorError("no successor")
            sock.setblocking(False)
            sock.connect(path)

    async def hand_over(self, connection: ClientConnection) -> bool:
        """Offers a relay whose pumps have stopped. True once it is the successor's."""
        async with self._turn:
            if not self._sock:
                return False
            try:
                taken = await self._offer(self._sock, connection)
            except OSError as error:
                say("upgrade", f"relays are handed over no more, so clients are moved: {error}")
                self._close()
                return False
            self.handed_over_count += taken
            return taken

    async def _offer(self, sock: socket.socket, connection: ClientConnection) -> bool:
        """Sends the relay and awaits the answer.

        Without an answer in time the relay may be the successor's already. Two processes that read one connection tear
        it apart, so then it counts as given.
        """
        if connection.server_sock is None:
            return False
        data = encode_relay(connection, self._load_of(connection.opened.id))
        answer = bytearray(ANSWER_BYTES)
        count = 0
        loop = asyncio.get_running_loop()
        socket.send_fds(sock, [data], [connection.sock.fileno(), connection.server_sock.fileno()])
        async with self._clock.limit(ANSWER_MS) as limit:
            count = await recv_into(loop, sock, answer)
        if limit.over:
            return True
        if not count:
            raise NoSuccessorError("the successor is gone")
        return answer[:count] == ACCEPTED

    def _close(self) -> None:
        if self._sock:
            self._sock.close()
            self._sock = None
