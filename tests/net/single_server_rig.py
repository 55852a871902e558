"""A program with one server, whose answer to a request is named in the request's id."""

from __future__ import annotations

import asyncio
import socket

from glenrock.config import parse_config
from glenrock.net.clock import Clock
from glenrock.program import Program

from .settings import SETTINGS


class SingleServerRig:
    """A program, its server, and clients that end their connections in various ways.

    The first word of a request's id names the behaviour: `up`, `busy`, `err`, `early`, `leaves`, `silent` or `floods`.
    """

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.silent_discovery = socket.create_server(("127.0.0.1", 0))
        port = self.server.sockets[0].getsockname()[1]
        row = {
            "name": "s1",
            "address": f"127.0.0.1:{port}",
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        settings = {**SETTINGS, "balancers": 1, "caps": {**SETTINGS["caps"], "maxAttempts": 1}}
        self.program = Program(
            parse_config(
                {
                    "listen": "127.0.0.1:0",
                    "admin": "127.0.0.1:0",
                    "settings": settings,
                    "seed": "7",
                    "discovery": f"127.0.0.1:{self.silent_discovery.getsockname()[1]}",
                    "known": {"index": 1, "snapshot": True, "endpoints": [row]},
                }
            ),
            Clock(),
        )
        await self.program.start()
        self.port = self.program.acceptor.listener.getsockname()[1]
        self.metrics, self.connections = self.program.connections.metrics, self.program.connections.by_id

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = (await reader.readline()).decode()
        behaviour = line.split(" ")[1].split("-")[0] if line.startswith("OPEN") else ""
        if behaviour in ("up", "leaves", "floods"):
            writer.write(b"UP r\r\n")
            while (received := await reader.readline()) and behaviour != "floods":
                writer.write(received)
            try:
                while behaviour == "floods":  # the client does not read, so that the write blocks
                    writer.write(b"x" * 65536)
                    await writer.drain()
            except OSError:
                pass
        elif behaviour in ("busy", "err"):
            writer.write(b"BUSY\r\n" if behaviour == "busy" else b"ERR\r\n")
        else:
            await reader.read()
        writer.close()

    async def run_client(self, behaviour: str, number: int, cuts: list[int]) -> None:
        """Sends a request line in pieces that end at `cuts`, and then behaves as named."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        line = b"OPEN %s-%d %x c=look,d=1000\r\n" % (behaviour.encode(), number, number)
        position = 0
        for cut in sorted(cuts):
            writer.write(line[position:cut])
            position = max(position, cut)
            await asyncio.sleep(0.001)
        writer.write(line[position:])
        if behaviour == "leaves" or behaviour == "silent":  # before UP, or during it
            await asyncio.sleep(0 if number % 2 else 0.02)
            writer.transport.abort()
            return
        if behaviour == "early":
            writer.write(b"more\r\n")
        if behaviour == "floods":
            assert await reader.readline()  # the flood begins after the answer
            await asyncio.sleep(0.2)
            writer.transport.abort()
            return
        assert await reader.readline()
        if behaviour == "up":
            writer.write(b"hello\r\n")
            assert await reader.readline() == b"hello\r\n"
        writer.close()

    async def wait_until_idle(self) -> None:
        """Waits at most 3 s until no connection is left."""
        for _ in range(300):
            if not self.connections and not self.program.acceptor.tasks:
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"left: {list(self.connections)}, {len(self.program.acceptor.tasks)} connections")

    def outcome_counts(self) -> dict[str, int]:
        """Returns the numbers of ended connections by outcome, without zeros."""
        return {outcome: counts["look"] for outcome, counts in self.metrics.outcomes.items() if counts["look"]}
