"""Receives from the predecessor in an upgrade what it has been told."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

from ..log import get_logger
from ..net.clock import Clock
from .state_connection import StateConnection
from .state_message import (
    MAX_LIST_ROWS,
    SOCKET_NAME,
    Greeting,
    ListBegin,
    ListEnd,
    ManualDrain,
    ReportedList,
    ServerPart,
    ServerSends,
    SnapshotEnd,
    StateChange,
    StateMessage,
    StateMessageError,
    StateSnapshot,
    ToldServer,
    encode,
)
from .unix_socket import create_unix_socket, socket_address

SNAPSHOT_TIMEOUT_MS = 1000.0  # a new process is due within 6 s, of which up to 3 s are for discovery

logger = get_logger(__name__)


class ListAssembler:
    """Puts the messages of an endpoint list together."""

    def __init__(self) -> None:
        self._begin: ListBegin | None = None
        self._servers: list[ToldServer] = []

    def add(self, message: ListBegin | ServerPart | ListEnd) -> ReportedList | None:
        """Adds a message. Returns the list if it is complete.

        Raises:
            StateMessageError: the message does not follow the last one, rows are missing, or there are too many.
        """
        match message:
            case ListBegin() if self._begin is None:
                self._begin = message
                self._servers = []
            case ServerPart(servers) if self._begin:
                self._servers += servers
                if len(self._servers) > MAX_LIST_ROWS:
                    raise StateMessageError(f"more than {MAX_LIST_ROWS} rows in a list")
            case ListEnd(row_count) if self._begin and row_count == len(self._servers):
                begin, self._begin = self._begin, None
                return ReportedList(begin.kind, begin.version, begin.discovery, begin.answered_ms, tuple(self._servers))
            case _:
                raise StateMessageError(f"unexpected {type(message).__name__} after {len(self._servers)} rows")
        return None


class StateReceiver:
    """Reads what the predecessor has been told, at this process's start and from then on.

    Args:
        folder: the folder that both processes of an upgrade share.
        balancer: the configured name of this balancer.
        clock: the process's clock.
    """

    def __init__(self, folder: str, balancer: str, clock: Clock) -> None:
        self._folder = folder
        self._balancer = balancer
        self._clock = clock
        self._connection: StateConnection | None = None
        self._assembler = ListAssembler()

    async def receive_snapshot(self) -> StateSnapshot | None:
        """Returns what the predecessor was told; None, with a line in the log, if it cannot be had in time."""
        started_ms = self._clock.now_ms()
        snapshot: StateSnapshot | None = None
        try:
            self._connection = self._connect()
            async with self._clock.time_limit(SNAPSHOT_TIMEOUT_MS) as limit:
                snapshot = await self._read_snapshot(self._connection)
            if limit.has_expired:
                raise TimeoutError(f"not complete within {SNAPSHOT_TIMEOUT_MS:.0f} ms")
        except (OSError, EOFError, StateMessageError) as error:
            logger.warning("predecessor's endpoint list not received", error=error)
            self._close()
            return None
        if snapshot:
            duration_ms = round(self._clock.now_ms() - started_ms, 1)
            servers = len(snapshot.reported.servers)
            logger.info("predecessor's endpoint list received", servers=servers, ms=duration_ms)
        return snapshot

    async def send_drain(self, drain: ManualDrain) -> None:
        """Tells the predecessor that an operator has begun or ended a drain at this process, if it still runs."""
        with contextlib.suppress(OSError):
            if self._connection:
                await self._connection.send(encode(drain))

    async def follow(self, on_change: Callable[[StateChange], None]) -> None:
        """Passes on what the predecessor tells after its snapshot, until it ends."""
        if not self._connection:
            return
        try:
            while True:
                message = await self._connection.receive()
                change = message if isinstance(message, ServerSends | ManualDrain) else self._add(message)
                if change:
                    on_change(change)
        except (OSError, EOFError, StateMessageError) as error:
            logger.info("connection to the predecessor ended", reason=error)
            self._close()

    def _connect(self) -> StateConnection:
        sock = create_unix_socket()
        try:
            with socket_address(self._folder, SOCKET_NAME) as path:
                sock.connect(path)
        except OSError:
            sock.close()
            raise
        return StateConnection(sock)

    def _close(self) -> None:
        if self._connection:
            self._connection.close()
            self._connection = None

    async def _read_snapshot(self, connection: StateConnection) -> StateSnapshot:
        self._check_greeting(await connection.receive())
        reported: ReportedList | None = None
        manual_drain = ManualDrain(None)
        while True:
            match await connection.receive():
                case SnapshotEnd() if reported:
                    return StateSnapshot(manual_drain, reported)
                case ManualDrain() as message:
                    manual_drain = message
                case message:
                    reported = self._add(message) or reported

    def _add(self, message: StateMessage) -> ReportedList | None:
        """Handles a message after the greeting. Returns the list that it completes.

        Raises:
            StateMessageError: the message does not belong here.
        """
        match message:
            case ListBegin() | ServerPart() | ListEnd():
                return self._assembler.add(message)
            case _:
                raise StateMessageError(f"unexpected {type(message).__name__}")

    def _check_greeting(self, message: StateMessage) -> None:
        if not isinstance(message, Greeting):
            raise StateMessageError(f"expected a greeting, got {type(message).__name__}")
        if message.balancer != self._balancer:
            raise StateMessageError(f"of another balancer, {message.balancer:.100}")
