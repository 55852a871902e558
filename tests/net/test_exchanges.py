"""Recorded byte exchanges, played against the program. The form of the files: tests/exchanges/README.md."""

from __future__ import annotations

import asyncio
import fnmatch
import json
import socket
import unittest
from pathlib import Path

import uvloop

from glenrock.config import parse_config
from glenrock.net.clock import SetClock
from glenrock.program import Program

from .settings import SETTINGS

EXCHANGES = Path(__file__).resolve().parents[1] / "exchanges"


class Ends:
    """One side of a connection, as the script sees it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def line(self) -> str:
        return (await self.reader.readline()).decode("latin-1").rstrip("\r\n")

    async def ending(self) -> str:
        try:
            return "fin" if await self.reader.read() == b"" else "more bytes"
        except (ConnectionResetError, BrokenPipeError):
            return "reset"

    async def answer(self) -> tuple[str, list[str]]:
        """Status and body of an HTTP answer that the other side ends; its length is what it says."""
        head, _, body = (await self.reader.read()).partition(b"\r\n\r\n")
        status, *fields = head.decode().split("\r\n")
        if f"Content-Length: {len(body)}" not in fields:
            raise AssertionError(f"{len(body)} bytes came with {fields}")
        return status.split(" ")[1], body.decode().splitlines()

    def close(self, how: str) -> None:
        if how == "fin":
            self.writer.write_eof()
        else:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.writer.transport.abort()


class Stage:
    """The program with its surroundings: clients, instances, discovery and one peer."""

    def __init__(self, names: list[str]) -> None:
        self.names, self.ports, self.clock = names, {}, SetClock()
        self.ends: dict[str, Ends] = {}
        self.accepted: dict[str, list] = {name: [] for name in [*names, "discovery", "elsewhere"]}
        self.anywhere: list[Ends] = []
        self.stops: asyncio.Task | None = None
        self.shown: dict[str, list[str]] = {}  # what operators were answered

    def row(self, name: str, status: str = "SERVING") -> dict:
        return {
            "name": name,
            "address": f"127.0.0.1:{self.ports[name]}",
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def open(self, over: dict, silent: bool) -> None:
        for name, held in self.accepted.items():

            def on(reader, writer, held=held):
                held.append(Ends(reader, writer))
                if held is not self.accepted["discovery"] and held is not self.accepted["elsewhere"]:
                    self.anywhere.append(held[-1])

            server = await asyncio.start_server(on, "127.0.0.1", 0)
            self.ports[name] = server.sockets[0].getsockname()[1]
        known = {"index": 1, "snapshot": True, "endpoints": [self.row(name) for name in self.names]}
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind(("127.0.0.1", 0))
        peer = f"127.0.0.1:{self.peer.getsockname()[1]}"
        self.program = Program(
            parse_config(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{self.ports['discovery']}",
                    "seed": "7",
                    "known": known,
                    "settings": {**SETTINGS, **over.pop("settings", {})},
                    "peer_listen": "127.0.0.1:0",
                    "peers": ["127.0.0.1:9", peer],
                    **over,
                }
            ),
            self.clock,
        )
        starting = asyncio.create_task(self.program.start())
        if silent:
            while not starting.done():
                await self.advance(50)
        else:
            await self.expect("discovery", "GET /discovery/hosts HTTP/1.1")
            self.answer({**known, "index": 2})
        await starting
        self.port = self.program.acceptor.listener.getsockname()[1]

    async def end(self, who: str) -> Ends:
        if who not in self.ends:
            base, _, number = who.partition(".")
            held = self.anywhere if base == "any" else self.accepted.get(base)
            if held is not None:
                while len(held) < int(number or 1):
                    await asyncio.sleep(0.001)
                self.ends[who] = held[int(number or 1) - 1]
            elif who.startswith("op"):
                port = self.program.operators.listener.listening_socket.getsockname()[1]
                self.ends[who] = Ends(*await asyncio.open_connection("127.0.0.1", port))
            else:
                self.ends[who] = Ends(*await asyncio.open_connection("127.0.0.1", self.port))
        return self.ends[who]

    def answer(self, body: dict, who: str = "discovery") -> None:
        text = json.dumps(body).encode()
        self.ends[who].send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))

    async def expect(self, who: str, pattern: str) -> None:
        got = await (await self.end(who)).line()
        if who.partition(".")[0] in ("discovery", "elsewhere"):
            while got and not got.startswith("GET") or not got and not self.ends[who].reader.at_eof():
                got = await self.ends[who].line()
        if not fnmatch.fnmatchcase(got, pattern):
            raise AssertionError(f"{who} got {got!r}, not {pattern!r}")

    async def advance(self, ms: float) -> None:
        while ms > 0:
            await self.settle()
            self.clock.advance(min(ms, 10))
            ms -= 10
        await self.settle()

    async def settle(self) -> None:
        for _ in range(10):  # turns of the loop in which bytes on loopback are seen
            await asyncio.sleep(0.0002)

    async def play(self, who: str, what: str, text: str) -> None:
        if who == "clock":
            await self.advance(float(text))
        elif what == "HUP":
            new = {
                "listen": "127.0.0.1:0",
                "settings": SETTINGS,
                **json.loads(text),
                "discovery": f"127.0.0.1:{self.ports['elsewhere']}",
            }
            self.program.reload(lambda begun: parse_config(new))
        elif what == "lists":
            rows = [self.row(*part.split("=")) for part in text.split()]
            self.answer({"index": 2, "snapshot": True, "endpoints": rows}, who)
        elif what == "refuses":
            self.ends[who].send(f"HTTP/1.1 {text} No\r\nContent-Length: 0\r\n\r\n".encode())
        elif what == "says":
            self.answer(json.loads(text), who)
        elif who == "signal":
            stop = asyncio.Event()
            stop.set()
            self.stops = asyncio.create_task(self.program.run_until(stop))
        elif who == "table":
            body = [self.row(*part.split("=")) for part in text.split()]
            self.answer({"index": 3, "snapshot": False, "endpoints": body})
        elif who == "peer":
            self.peer.sendto(bytes.fromhex(text), self.program.peers.sock.getsockname())
        elif who == "stopped":
            await asyncio.wait_for(self.stops, 5)
        elif what == "<":
            await self.expect(who, text)
        elif what == ">":
            (await self.end(who)).send(text.encode() + b"\r\n")
        elif what == "raw":
            (await self.end(who)).send(text.encode().decode("unicode_escape").encode("latin-1"))
        elif what == "floods":
            (await self.end(who)).send(b"k" * int(text))
        elif what == "ends":
            (await self.end(who)).close(text)
        elif what == "sees":
            got = await (await self.end(who)).ending()
            if got != text:
                raise AssertionError(f"{who} sees {got}, not {text}")
        elif what == "calls":
            (await self.end(who)).send(f"{text} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        elif what == "answered":
            status, self.shown[who] = await self.ends[who].answer()
            if not fnmatch.fnmatchcase(got := f"{status} {self.shown[who][-1]}", text):
                raise AssertionError(f"{who} was answered {got!r}")
        elif what == "shown":
            if text not in self.shown[who]:
                raise AssertionError(f"{who} was shown {self.shown[who]}")
        elif what == "hears" and self.accepted[who]:
            raise AssertionError(f"{who} was reached")
        await self.settle()


async def played(path: Path) -> None:
    steps = [
        (n, line)
        for n, line in enumerate(path.read_text().splitlines(), 1)
        if line.strip() and not line.startswith("#")
    ]
    head = json.loads(steps[0][1])
    stage = Stage(head.pop("instances", ["s1"]))
    await asyncio.wait_for(stage.open(head, head.pop("silent", False)), 5)
    for number, line in steps[1:]:
        who, what, text = (line.split(" ", 2) + ["", ""])[:3]
        try:
            await asyncio.wait_for(stage.play(who, what, text), 5)
        except (AssertionError, TimeoutError, OSError) as bad:
            raise AssertionError(f"{path.name}:{number}: {line}: {bad or type(bad).__name__}") from None


class Exchanges(unittest.TestCase):
    def test_each_is_answered_as_recorded(self) -> None:
        paths = sorted(EXCHANGES.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.stem):
                uvloop.run(played(path))
