"""Plays recorded byte exchanges against the program. tests/exchanges/README.md describes the file format."""

from __future__ import annotations

import asyncio
import contextlib
import fnmatch
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from glenrock.config import parse_config
from glenrock.net.socket_io import ZERO_LINGER
from glenrock.program import Program

from .discovery_answers import EndpointRow, endpoint_list_response, endpoint_row, http_response
from .loopback_delivery import ManualTime
from .rig import StreamEnd
from .settings import SETTINGS

STEP_TIMEOUT_S = 5
ACCEPT_POLL_S = 0.001
DISCOVERY_PARTIES = ("discovery", "elsewhere")
MORE_BYTES = "more bytes"


class HttpAnswer(NamedTuple):
    """Status and body lines of the program's answer to an operator."""

    status: str
    lines: list[str]


@dataclass(frozen=True)
class ExchangeStep:
    """One step of an exchange: a party, what it does, and the text of the step."""

    line_number: int
    party: str
    step: str
    text: str


@dataclass(frozen=True)
class Exchange:
    """An exchange file: the keys of the configuration that differ from the default, and the steps."""

    config: dict[str, Any]
    steps: list[ExchangeStep]


def read_exchange(path: Path) -> Exchange:
    """Parses an exchange file."""
    lines = [
        (number, line)
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if line.strip() and not line.startswith("#")
    ]
    steps = []
    for number, line in lines[1:]:
        party, step, text = [*line.split(" ", 2), "", ""][:3]
        steps.append(ExchangeStep(number, party, step, text))
    return Exchange(json.loads(lines[0][1]), steps)


class ScriptedConnection:
    """One side of a connection, driven by the steps of an exchange."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self._writer = writer

    def send(self, data: bytes) -> None:
        """Writes bytes to the connection."""
        self._writer.write(data)

    async def read_line(self) -> str:
        """Returns the next line without its line end."""
        return (await self.reader.readline()).decode("latin-1").rstrip("\r\n")

    async def read_end(self) -> str:
        """Waits for the end of the stream. Returns a value of `StreamEnd`, or `MORE_BYTES` if bytes came before it."""
        try:
            return StreamEnd.FIN.value if await self.reader.read() == b"" else MORE_BYTES
        except (ConnectionResetError, BrokenPipeError):
            return StreamEnd.RESET.value

    async def read_http_answer(self) -> HttpAnswer:
        """Reads an HTTP answer until the end of the stream, and checks its Content-Length."""
        head, _, body = (await self.reader.read()).partition(b"\r\n\r\n")
        status_line, *fields = head.decode().split("\r\n")
        if f"Content-Length: {len(body)}" not in fields:
            raise AssertionError(f"{len(body)} bytes came with {fields}")
        return HttpAnswer(status_line.split(" ")[1], body.decode().splitlines())

    def end(self, how: str) -> None:
        """Sends FIN if `how` is `fin`; otherwise resets the connection."""
        if how == StreamEnd.FIN.value:
            self._writer.write_eof()
            return
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        self._writer.transport.abort()


class ExchangePlayer:
    """The program with clients, servers, two discovery services and one peer, which follow the steps of an exchange."""

    def __init__(self, server_names: list[str]) -> None:
        self._server_names = server_names
        self._ports: dict[str, int] = {}
        self._time = ManualTime()
        self._connections: dict[str, ScriptedConnection] = {}  # by their party names in the exchange
        self._accepted: dict[str, list[ScriptedConnection]] = {name: [] for name in [*server_names, *DISCOVERY_PARTIES]}
        self._accepted_by_servers: list[ScriptedConnection] = []
        self._shutdown: asyncio.Task[None] | None = None
        self._operator_answers: dict[str, HttpAnswer] = {}

    # -- the start -------------------------------------------------------------------------------------

    async def open(self, config: dict[str, Any], discovery_is_silent: bool) -> None:
        """Starts the servers, discovery, the peer and the program."""
        await self._listen()
        rows = [self._row(name) for name in self._server_names]
        self._peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._peer.bind(("127.0.0.1", 0))
        raw_config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self._ports['discovery']}",
            "seed": "7",
            "known": endpoint_list_response(1, rows),
            "peer_listen": "127.0.0.1:0",
            "peers": ["127.0.0.1:9", f"127.0.0.1:{self._peer.getsockname()[1]}"],
            **config,
            "settings": {**SETTINGS, **config.get("settings", {})},
        }
        self._program = Program(parse_config(raw_config), self._time.clock)
        starting = asyncio.create_task(self._program.start())
        if discovery_is_silent:
            while not starting.done():
                await self._time.advance(50)
        else:
            await self._expect_line("discovery", "GET /discovery/hosts HTTP/1.1")
            self._answer_discovery("discovery", endpoint_list_response(2, rows))
        await starting
        assert self._program.acceptor.listener is not None
        self._port: int = self._program.acceptor.listener.getsockname()[1]

    async def _listen(self) -> None:
        for name in self._accepted:
            server = await asyncio.start_server(self._acceptor_of(name), "127.0.0.1", 0)
            self._ports[name] = server.sockets[0].getsockname()[1]

    def _acceptor_of(self, name: str) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connection = ScriptedConnection(reader, writer)
            self._accepted[name].append(connection)
            if name not in DISCOVERY_PARTIES:
                self._accepted_by_servers.append(connection)

        return accept

    def close(self) -> None:
        """Closes the peer's socket and the delivery barrier. The program ends with the event loop."""
        self._peer.close()
        self._time.close()

    # -- parties ---------------------------------------------------------------------------------------

    async def _connection(self, name: str) -> ScriptedConnection:
        """Returns the connection of a party. Waits until a server or discovery has accepted it, or opens it."""
        if name not in self._connections:
            base, _, number = name.partition(".")
            accepted = self._accepted_by_servers if base == "any" else self._accepted.get(base)
            if accepted is None:
                self._connections[name] = await self._connect(name)
            else:
                self._connections[name] = await self._wait_for_accepted(accepted, int(number or 1))
        return self._connections[name]

    async def _connect(self, name: str) -> ScriptedConnection:
        port = self._operator_port() if name.startswith("op") else self._port
        return ScriptedConnection(*await asyncio.open_connection("127.0.0.1", port))

    async def _wait_for_accepted(self, accepted: list[ScriptedConnection], number: int) -> ScriptedConnection:
        while len(accepted) < number:  # noqa: ASYNC110 - the step has a timeout
            await asyncio.sleep(ACCEPT_POLL_S)
        return accepted[number - 1]

    def _operator_port(self) -> int:
        operators = self._program.operators
        assert operators is not None
        assert operators.listener.listening_socket is not None
        port: int = operators.listener.listening_socket.getsockname()[1]
        return port

    def _row(self, name: str, status: str = "SERVING") -> EndpointRow:
        return endpoint_row(name, f"127.0.0.1:{self._ports[name]}", status)

    def _rows(self, text: str) -> list[EndpointRow]:
        return [self._row(*part.split("=")) for part in text.split()]

    def _answer_discovery(self, name: str, body: object) -> None:
        self._connections[name].send(http_response(body))

    async def _expect_line(self, name: str, pattern: str) -> None:
        connection = await self._connection(name)
        line = await connection.read_line()
        if name.partition(".")[0] in DISCOVERY_PARTIES:  # the pattern is for the request line: skip header lines
            while not line.startswith("GET") and (line or not connection.reader.at_eof()):
                line = await connection.read_line()
        if not fnmatch.fnmatchcase(line, pattern):
            raise AssertionError(f"{name} got {line!r}, not {pattern!r}")

    # -- steps -----------------------------------------------------------------------------------------

    async def play(self, step: ExchangeStep) -> None:
        """Plays a step.

        Raises:
            AssertionError: the program did something else than the step expects.
        """
        party_steps: dict[str, Callable[[str], Awaitable[None]]] = {
            "clock": self._play_clock,
            "signal": self._play_signal,
            "table": self._play_table,
            "peer": self._play_peer,
            "stopped": self._play_stopped,
        }
        if step.step == "HUP":
            self._reload(json.loads(step.text))
        elif step.step in ("lists", "refuses", "says"):
            self._play_on_discovery(step)
        elif step.party in party_steps:
            await party_steps[step.party](step.text)
        else:
            await self._play_on_connection(step)
        await self._time.run_loop()

    async def _play_clock(self, text: str) -> None:
        await self._time.advance(float(text))

    async def _play_signal(self, _: str) -> None:
        stop = asyncio.Event()
        stop.set()
        self._shutdown = asyncio.create_task(self._program.run_until(stop))

    async def _play_table(self, text: str) -> None:
        self._answer_discovery("discovery", endpoint_list_response(3, self._rows(text), is_full=False))

    async def _play_peer(self, text: str) -> None:
        assert self._program.peers is not None
        self._peer.sendto(bytes.fromhex(text), self._program.peers.sock.getsockname())

    async def _play_stopped(self, _: str) -> None:
        assert self._shutdown is not None
        await asyncio.wait_for(self._shutdown, STEP_TIMEOUT_S)

    def _reload(self, config: dict[str, Any]) -> None:
        elsewhere = f"127.0.0.1:{self._ports['elsewhere']}"
        raw = {"listen": "127.0.0.1:0", "settings": SETTINGS, **config, "discovery": elsewhere}
        self._program.reload(lambda config_at_start: parse_config(raw))

    def _play_on_discovery(self, step: ExchangeStep) -> None:
        match step.step:
            case "lists":
                self._answer_discovery(step.party, endpoint_list_response(2, self._rows(step.text)))
            case "says":
                self._answer_discovery(step.party, json.loads(step.text))
            case "refuses":
                self._connections[step.party].send(f"HTTP/1.1 {step.text} No\r\nContent-Length: 0\r\n\r\n".encode())

    async def _play_on_connection(self, step: ExchangeStep) -> None:
        match step.step:
            case "<":
                await self._expect_line(step.party, step.text)
            case "sees":
                end = await (await self._connection(step.party)).read_end()
                if end != step.text:
                    raise AssertionError(f"{step.party} sees {end}, not {step.text}")
            case "ends":
                (await self._connection(step.party)).end(step.text)
            case "answered":
                await self._check_operator_answer(step.party, step.text)
            case "shown":
                if step.text not in self._operator_answers[step.party].lines:
                    raise AssertionError(f"{step.party} got the lines {self._operator_answers[step.party].lines}")
            case "hears":
                if self._accepted[step.party]:
                    raise AssertionError(f"{step.party} has accepted a connection")
            case _:
                data = _bytes_of(step)
                (await self._connection(step.party)).send(data)

    async def _check_operator_answer(self, name: str, pattern: str) -> None:
        answer = self._operator_answers[name] = await self._connections[name].read_http_answer()
        text = f"{answer.status} {answer.lines[-1]}"
        if not fnmatch.fnmatchcase(text, pattern):
            raise AssertionError(f"{name} got the answer {text!r}")


def _bytes_of(step: ExchangeStep) -> bytes:
    """Returns the bytes that a step sends. Raises AssertionError for an unknown step."""
    match step.step:
        case ">":
            return step.text.encode() + b"\r\n"
        case "raw":
            return step.text.encode().decode("unicode_escape").encode("latin-1")
        case "floods":
            return b"k" * int(step.text)
        case "calls":
            return f"{step.text} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
    raise AssertionError(f"unknown step {step.step!r}")


async def play_exchange(exchange: Exchange) -> None:
    """Plays all steps of an exchange, on a `ConnectTrackingLoop`.

    Raises:
        AssertionError: the program did something else than a step expects, or not in time. The message names the line.
    """
    config = dict(exchange.config)
    player = ExchangePlayer(config.pop("instances", ["s1"]))
    discovery_is_silent = config.pop("silent", False)
    await asyncio.wait_for(player.open(config, discovery_is_silent), STEP_TIMEOUT_S)
    with contextlib.closing(player):
        await _play_steps(player, exchange)


async def _play_steps(player: ExchangePlayer, exchange: Exchange) -> None:
    for step in exchange.steps:
        try:
            await asyncio.wait_for(player.play(step), STEP_TIMEOUT_S)
        except (AssertionError, TimeoutError, OSError) as error:
            what = f"{step.party} {step.step} {step.text}".rstrip()
            raise AssertionError(f"line {step.line_number}: {what}: {error or type(error).__name__}") from None
