"""The listening socket for clients. Pauses accepting while the machine has no resources for a connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..config import Address
from ..log import get_logger
from .clock import Clock
from .metrics import ConnectionMetrics
from .system_errors import is_resource_exhausted, was_aborted_before_accept

SHORTAGE_TIMEOUT_MS = 100.0  # an idle connection is closed once a shortage of resources has lasted this long
ACCEPT_PAUSE_MS = 20.0
MAX_ACCEPTS_PER_WAKEUP = 8  # so that many new connections do not delay established ones
BACKLOG = 4096  # completed connections that may wait in the kernel's accept queue

logger = get_logger(__name__)


def listen(address: Address, backlog: int = BACKLOG) -> socket.socket:
    """Returns a non-blocking socket that listens at that address.

    Raises:
        OSError: the address is in use, or does not belong to this machine.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(backlog)
    return sock


class ListeningSocket:
    """Accepts connections from a listening socket.

    Args:
        clock: the clock of the process.
        metrics: counts failed system calls.
        on_connection: called with each accepted socket.
        on_shortage: called to free a descriptor once a shortage has lasted `SHORTAGE_TIMEOUT_MS`.

    Attributes:
        sock: the listening socket; None while it is closed.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: ConnectionMetrics,
        on_connection: Callable[[socket.socket], None],
        on_shortage: Callable[[], object],
    ) -> None:
        self.sock: socket.socket | None = None
        self._clock = clock
        self._metrics = metrics
        self._on_connection = on_connection
        self._on_shortage = on_shortage
        self._shortage_since_ms: float | None = None

    def open(self, sock: socket.socket) -> None:
        """Starts to accept connections.

        A callback accepts them, since a cancelled `sock_accept` may lose a connection. `socket_io` explains this for
        reads.
        """
        self.sock = sock
        asyncio.get_running_loop().add_reader(sock, self.accept, MAX_ACCEPTS_PER_WAKEUP)

    def close(self) -> None:
        """Stops accepting. Resets queued connections, unless another process also has the listening socket open."""
        if self.sock:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def accept(self, max_connections: int) -> None:
        """Accepts at most `max_connections` queued connections."""
        for _ in range(max_connections):
            if self.sock is None:
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._metrics.add_system_error(error)
                if was_aborted_before_accept(error):
                    continue
                self._pause(self.sock, error)
                return
            self._shortage_since_ms = None
            self._on_connection(sock)

    def _pause(self, listener: socket.socket, error: OSError) -> None:
        """Pauses accepting. The listening socket stays readable, so the event loop would otherwise retry at once."""
        logger.warning("accepting paused after a resource error", error=error, pause_ms=ACCEPT_PAUSE_MS)
        now_ms = self._clock.now_ms()
        if is_resource_exhausted(error):
            if self._shortage_since_ms is None:
                self._shortage_since_ms = now_ms
            if now_ms - self._shortage_since_ms >= SHORTAGE_TIMEOUT_MS:
                self._on_shortage()
        asyncio.get_running_loop().remove_reader(listener)
        self._clock.call_at(self._clock.now_ms() + ACCEPT_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        if self.sock:
            asyncio.get_running_loop().add_reader(self.sock, self.accept, MAX_ACCEPTS_PER_WAKEUP)
