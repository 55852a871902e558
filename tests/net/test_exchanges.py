"""Recorded byte exchanges, played against the program. The form of the files: tests/exchanges/README.md."""

from __future__ import annotations

import asyncio
import fnmatch
import json
import socket
from pathlib import Path

import pytest
import uvloop

from glenrock.config import parse_config
from glenrock.net.clock import ManualClock
from glenrock.program import Program

from .settings import SETTINGS

EXCHANGES = sorted((Path(__file__).resolve().parents[1] / "exchanges").glob("*.txt"))
STEP_TIMEOUT_S = 5
CLOCK_STEP_MS = 10
DISCOVERIES = ("discovery", "elsewhere")


class Endpoint:
    """One side of a connection, as a script uses it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_line(self) -> str:
        return (await self.reader.readline()).decode("latin-1").rstrip("\r\n")

    async def read_end(self) -> str:
        try:
            return "fin" if await self.reader.read() == b"" else "more bytes"
        except (ConnectionResetError, BrokenPipeError):
            return "reset"

    async def read_http_answer(self) -> tuple[str, list[str]]:
        """Returns status and body lines of an HTTP answer with a correct length, up to the end."""
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


class ExchangePlayer:
    """The program with clients, servers, discovery and one peer, which follow a script."""

    def __init__(self, server_names: list[str]) -> None:
        self.server_names, self.ports, self.clock = server_names, {}, ManualClock()
        self.endpoints: dict[str, Endpoint] = {}  # by their names in the script
        self.accepted: dict[str, list] = {name: [] for name in [*server_names, *DISCOVERIES]}
        self.accepted_by_servers: list[Endpoint] = []
        self.shutdown: asyncio.Task | None = None
        self.operator_answers: dict[str, list[str]] = {}

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

    def rows(self, text: str) -> list[dict]:
        return [self.row(*part.split("=")) for part in text.split()]

    async def open(self, overrides: dict, discovery_is_silent: bool) -> None:
        await self._listen()
        known = {"index": 1, "snapshot": True, "endpoints": [self.row(name) for name in self.server_names]}
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind(("127.0.0.1", 0))
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.ports['discovery']}",
            "seed": "7",
            "known": known,
            "settings": {**SETTINGS, **overrides.pop("settings", {})},
            "peer_listen": "127.0.0.1:0",
            "peers": ["127.0.0.1:9", f"127.0.0.1:{self.peer.getsockname()[1]}"],
            **overrides,
        }
        self.program = Program(parse_config(config), self.clock)
        starting = asyncio.create_task(self.program.start())
        if discovery_is_silent:
            while not starting.done():
                await self.advance(50)
        else:
            await self.expect_line("discovery", "GET /discovery/hosts HTTP/1.1")
            self.answer_discovery({**known, "index": 2})
        await starting
        self.port = self.program.acceptor.listener.getsockname()[1]

    async def _listen(self) -> None:
        for name, connections in self.accepted.items():

            def on_connection(reader, writer, name=name, connections=connections):
                connections.append(Endpoint(reader, writer))
                if name not in DISCOVERIES:
                    self.accepted_by_servers.append(connections[-1])

            server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
            self.ports[name] = server.sockets[0].getsockname()[1]

    async def endpoint(self, name: str) -> Endpoint:
        if name not in self.endpoints:
            base, _, number = name.partition(".")
            connections = self.accepted_by_servers if base == "any" else self.accepted.get(base)
            if connections is not None:
                while len(connections) < int(number or 1):
                    await asyncio.sleep(0.001)
                self.endpoints[name] = connections[int(number or 1) - 1]
            else:
                is_operator = name.startswith("op")
                port = self._operator_port() if is_operator else self.port
                self.endpoints[name] = Endpoint(*await asyncio.open_connection("127.0.0.1", port))
        return self.endpoints[name]

    def _operator_port(self) -> int:
        return self.program.operators.listener.listening_socket.getsockname()[1]

    def answer_discovery(self, body: dict, name: str = "discovery") -> None:
        text = json.dumps(body).encode()
        self.endpoints[name].send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))

    async def expect_line(self, name: str, pattern: str) -> None:
        endpoint = await self.endpoint(name)
        line = await endpoint.read_line()
        if name.partition(".")[0] in DISCOVERIES:
            while line and not line.startswith("GET") or not line and not endpoint.reader.at_eof():
                line = await endpoint.read_line()
        if not fnmatch.fnmatchcase(line, pattern):
            raise AssertionError(f"{name} got {line!r}, not {pattern!r}")

    async def advance(self, ms: float) -> None:
        while ms > 0:
            await self.run_loop()
            self.clock.advance(min(ms, CLOCK_STEP_MS))
            ms -= CLOCK_STEP_MS
        await self.run_loop()

    async def run_loop(self) -> None:
        for _ in range(10):  # iterations of the loop in which bytes on loopback arrive
            await asyncio.sleep(0.0002)

    async def play(self, name: str, step: str, text: str) -> None:
        match name, step:
            case "clock", _:
                await self.advance(float(text))
            case _, "HUP":
                self._reload(json.loads(text))
            case _, "lists":
                self.answer_discovery({"index": 2, "snapshot": True, "endpoints": self.rows(text)}, name)
            case _, "refuses":
                self.endpoints[name].send(f"HTTP/1.1 {text} No\r\nContent-Length: 0\r\n\r\n".encode())
            case _, "says":
                self.answer_discovery(json.loads(text), name)
            case "signal", _:
                stop = asyncio.Event()
                stop.set()
                self.shutdown = asyncio.create_task(self.program.run_until(stop))
            case "table", _:
                self.answer_discovery({"index": 3, "snapshot": False, "endpoints": self.rows(text)})
            case "peer", _:
                self.peer.sendto(bytes.fromhex(text), self.program.peers.sock.getsockname())
            case "stopped", _:
                await asyncio.wait_for(self.shutdown, STEP_TIMEOUT_S)
            case _:
                await self._play_on_endpoint(name, step, text)
        await self.run_loop()

    def _reload(self, overrides: dict) -> None:
        elsewhere = f"127.0.0.1:{self.ports['elsewhere']}"
        raw = {"listen": "127.0.0.1:0", "settings": SETTINGS, **overrides, "discovery": elsewhere}
        self.program.reload(lambda config_at_start: parse_config(raw))

    async def _play_on_endpoint(self, name: str, step: str, text: str) -> None:
        match step:
            case "<":
                await self.expect_line(name, text)
            case ">":
                (await self.endpoint(name)).send(text.encode() + b"\r\n")
            case "raw":
                (await self.endpoint(name)).send(text.encode().decode("unicode_escape").encode("latin-1"))
            case "floods":
                (await self.endpoint(name)).send(b"k" * int(text))
            case "ends":
                (await self.endpoint(name)).close(text)
            case "sees":
                end = await (await self.endpoint(name)).read_end()
                if end != text:
                    raise AssertionError(f"{name} sees {end}, not {text}")
            case "calls":
                (await self.endpoint(name)).send(f"{text} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            case "answered":
                status, self.operator_answers[name] = await self.endpoints[name].read_http_answer()
                answer = f"{status} {self.operator_answers[name][-1]}"
                if not fnmatch.fnmatchcase(answer, text):
                    raise AssertionError(f"{name} was answered {answer!r}")
            case "shown":
                if text not in self.operator_answers[name]:
                    raise AssertionError(f"{name} was shown {self.operator_answers[name]}")
            case "hears":
                if self.accepted[name]:
                    raise AssertionError(f"{name} was reached")
            case _:
                raise AssertionError(f"unknown step {step!r}")


async def play_exchange(path: Path) -> None:
    steps = [
        (number, line)
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if line.strip() and not line.startswith("#")
    ]
    head = json.loads(steps[0][1])
    player = ExchangePlayer(head.pop("instances", ["s1"]))
    await asyncio.wait_for(player.open(head, head.pop("silent", False)), STEP_TIMEOUT_S)
    for number, line in steps[1:]:
        name, step, text = (line.split(" ", 2) + ["", ""])[:3]
        try:
            await asyncio.wait_for(player.play(name, step, text), STEP_TIMEOUT_S)
        except (AssertionError, TimeoutError, OSError) as error:
            raise AssertionError(f"{path.name}:{number}: {line}: {error or type(error).__name__}") from None


def test_there_are_exchanges() -> None:
    assert EXCHANGES


@pytest.mark.parametrize("path", EXCHANGES, ids=lambda path: path.stem)
def test_exchange_is_answered_as_recorded(path: Path) -> None:
    uvloop.run(play_exchange(path))
