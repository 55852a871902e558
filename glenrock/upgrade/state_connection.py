"""One connection between the two processes of an upgrade, which carries the messages of `state_message`."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from ..net.socket_io import recv_into, wait_writable
from .state_message import MAX_MESSAGE_BYTES, ManualDrain, StateMessage, StateMessageError, decode


class StateConnection:
    """Sends and receives messages, one at a time in each direction."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = bytearray(MAX_MESSAGE_BYTES + 1)  # a message that is too long is noticed

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()

    async def send(self, data: bytes) -> None:
        """Sends an encoded message, and lets other tasks run.

        Raises:
            OSError: the other process has closed the connection.
        """
        await asyncio.sleep(0)
        while True:
            try:
                self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                await wait_writable(asyncio.get_running_loop(), self._sock)
            else:
                return

    async def receive(self) -> StateMessage:
        """Returns the next message of a known kind.

        Raises:
            StateMessageError: the message is invalid.
            EOFError: the other process has closed the connection.
            OSError: the connection is broken.
        """
        while True:
            count = await recv_into(asyncio.get_running_loop(), self._sock, self._buffer)
            if not count:
                raise EOFError("the other process has closed the connection")
            if (message := decode(bytes(self._buffer[:count]))) is not None:
                return message

    async def read_drains(self, on_drain: Callable[[ManualDrain], None]) -> None:
        """Passes on drains until the other process has closed the connection, or sends anything else."""
        with contextlib.suppress(OSError, EOFError, StateMessageError):
            while isinstance(message := await self.receive(), ManualDrain):
                on_drain(message)
