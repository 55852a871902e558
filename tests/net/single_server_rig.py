"""The program with the real clock and one server. The id of a request says how the server and the client behave."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from enum import StrEnum

from glenrock.config import parse_config
from glenrock.net.clock import Clock
from glenrock.net.metrics import ConnectionOutcome
from glenrock.program import Program

from .discovery_answers import endpoint_list_response, endpoint_row
from .rig import address_of
from .settings import SETTINGS, caps

FLOOD_S = 0.2
FLOOD_BYTES = 1 << 16
IDLE_POLLS = 300
IDLE_POLL_S = 0.01


class Behaviour(StrEnum):
    """What a client and its server do. A request id begins with the value and a hyphen.

    Attributes:
        ESTABLISHED: the connection is established, and the server echoes lines.
        REJECTED: the server rejects the request.
        FAILED: the server fails the request.
        EARLY: the client sends a line before it has its answer.
        LEAVES: the client resets the connection at about the time of its answer.
        SILENT: the client resets the connection, and the server does not answer.
        FLOODS: the server sends without end, and the client, which reads only the answer, resets the connection.
    """

    ESTABLISHED = "up"
    REJECTED = "busy"
    FAILED = "err"
    EARLY = "early"
    LEAVES = "leaves"
    SILENT = "silent"
    FLOODS = "floods"


class SingleServerRig:
    """The program, its server, and clients that end their connections in various ways.

    Attributes:
        program: the program.
        port: the port where the program accepts clients.
    """

    async def open(self) -> None:
        """Starts the server and the program. Discovery does not answer."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._silent_discovery = socket.create_server(("127.0.0.1", 0))
        port = self._server.sockets[0].getsockname()[1]
        raw_config = {
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "settings": {**SETTINGS, "balancers": 1, "caps": caps(maxAttempts=1)},
            "seed": "7",
            "discovery": address_of(self._silent_discovery),
            "known": endpoint_list_response(1, [endpoint_row("s1", f"127.0.0.1:{port}")]),
        }
        self.program = Program(parse_config(raw_config), Clock())
        await self.program.start()
        assert self.program.acceptor.listener is not None
        self.port: int = self.program.acceptor.listener.getsockname()[1]
        self.metrics = self.program.connections.metrics
        self.connections = self.program.connections.by_id

    def close(self) -> None:
        """Closes the listening sockets of the server and of discovery. The program ends with the event loop."""
        self._server.close()
        self._silent_discovery.close()

    # -- the server ------------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = (await reader.readline()).decode()
        name = line.split(" ")[1].split("-")[0] if line.startswith("OPEN") else ""
        match name:
            case Behaviour.ESTABLISHED | Behaviour.LEAVES:
                writer.write(b"UP r\r\n")
                while received := await reader.readline():
                    writer.write(received)
            case Behaviour.FLOODS:
                writer.write(b"UP r\r\n")
                with contextlib.suppress(OSError):
                    while True:  # the client does not read, so the write blocks
                        writer.write(b"x" * FLOOD_BYTES)
                        await writer.drain()
            case Behaviour.REJECTED:
                writer.write(b"BUSY\r\n")
            case Behaviour.FAILED:
                writer.write(b"ERR\r\n")
            case _:
                await reader.read()
        writer.close()

    # -- clients ---------------------------------------------------------------------------------------

    async def run_client(self, behaviour: Behaviour, number: int, cuts: list[int]) -> None:
        """Sends a request line in pieces, split at the offsets `cuts`, and then behaves as `behaviour` says."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        line = b"OPEN %s-%d %x c=look,d=1000\r\n" % (behaviour.encode(), number, number)
        position = 0
        for cut in sorted(cuts):
            writer.write(line[position:cut])
            position = max(position, cut)
            await asyncio.sleep(0.001)
        writer.write(line[position:])
        match behaviour:
            case Behaviour.LEAVES | Behaviour.SILENT:  # at about the time of the server's answer, if there is one
                await asyncio.sleep(0 if number % 2 else 0.02)
                writer.transport.abort()
            case Behaviour.FLOODS:
                assert await reader.readline()  # the flood begins after the answer
                await asyncio.sleep(FLOOD_S)
                writer.transport.abort()
            case _:
                await self._read_answer(behaviour, reader, writer)

    async def _read_answer(
        self, behaviour: Behaviour, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if behaviour is Behaviour.EARLY:
            writer.write(b"more\r\n")
        assert await reader.readline()
        if behaviour is Behaviour.ESTABLISHED:
            writer.write(b"hello\r\n")
            assert await reader.readline() == b"hello\r\n"
        writer.close()

    # -- the state of the program ----------------------------------------------------------------------

    async def wait_until_idle(self) -> None:
        """Waits until no connection is open.

        Raises:
            AssertionError: a connection is still open after 3 s.
        """
        for _ in range(IDLE_POLLS):
            if not self.connections and not self.program.acceptor.tasks:
                return
            await asyncio.sleep(IDLE_POLL_S)
        raise AssertionError(f"still open: {list(self.connections)}, {len(self.program.acceptor.tasks)} acceptor tasks")

    def outcome_counts(self) -> dict[ConnectionOutcome, int]:
        """Returns the number of connections by outcome, without zeros."""
        return {outcome: counts["look"] for outcome, counts in self.metrics.outcomes.items() if counts["look"]}
