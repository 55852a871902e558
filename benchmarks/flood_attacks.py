"""Floods of one peer of a balancer, each in a process of its own, so that they take no time from what is measured.

    python benchmarks/flood_attacks.py NAME JSON

`floods.py` starts these. The JSON object has the fields of `Target`. An attack runs until it is killed, or for
`MAX_ATTACK_S`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import socket
import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import uvloop

MAX_ATTACK_S = 60.0
CROWD = 400  # connections
RETRY_S = 0.05
SLOW_WRITE_S = 0.2
LINE_BYTES = 4000
READ_BYTES = 1 << 16
OPERATOR_CONNECTIONS = 32
FLOODED_RELAYS = 16
LISTED_NAMES_PER_ANSWER = 50
ESTABLISHED_LINE = b"UP flood\r\n"


@dataclass(frozen=True)
class Target:
    """What is attacked.

    Attributes:
        clients: the address for clients. `admin`: for operators. `peer`: for gossip, from `peer_source`.
        listen: the address where a stand-in of the attack listens.
        rows: rows of the endpoint list that ordinary clients need.
        folder: the folder with the socket of an upgrade.
    """

    clients: tuple[str, int]
    admin: tuple[str, int]
    peer: tuple[str, int]
    peer_source: tuple[str, int]
    listen: tuple[str, int]
    rows: list[dict[str, Any]]
    folder: str

    @classmethod
    def decode(cls, text: str) -> Target:
        """Returns the target of a JSON object."""
        content = json.loads(text)
        addresses = {key: tuple(content[key]) for key in ("clients", "admin", "peer", "peer_source", "listen")}
        return cls(rows=content["rows"], folder=content["folder"], **addresses)


Attack = Callable[[Target], Coroutine[Any, Any, None]]


def request(number: int, extra: str = "") -> bytes:
    """Returns a request line of its own id, key and group."""
    return f"OPEN flood-{number} {number:x} c=lookup,d=1800,g={number:x}{extra}\r\n".encode()


MANY_FIELDS = "".join(f",{name}=1" for name in (a + b for a, b in itertools.product("abefijklmnopqsuvwxyz", repeat=2)))
MANY_FIELDS += "".join(f",{a}{b}{c}=1" for a, b, c in itertools.product("abefijk", repeat=3))


async def repeat(connection: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Makes one connection after the other."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await connection()
        await asyncio.sleep(RETRY_S)


async def crowd(connection: Callable[[], Coroutine[Any, Any, None]], count: int = CROWD) -> None:
    """Keeps many connections, each made anew when it ends."""
    await asyncio.gather(*(repeat(connection) for _ in range(count)))


def client_attack(send: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]) -> Attack:
    """Returns an attack by a crowd of connections at the clients' address."""

    async def attack(target: Target) -> None:
        async def connection() -> None:
            reader, writer = await asyncio.open_connection(*target.clients)
            try:
                await send(reader, writer)
            finally:
                writer.close()

        await crowd(connection)

    return attack


async def write_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Writes a byte now and then."""
    for byte in request(1, MANY_FIELDS):
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(SLOW_WRITE_S)
        if reader.at_eof():
            return


async def stop_half_way(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Stops within a long request line."""
    writer.write(request(1, MANY_FIELDS)[:LINE_BYTES])
    await reader.read()


_numbers = itertools.count(1)


async def send_many_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Sends a request line of many short fields, and stays."""
    writer.write(request(next(_numbers), MANY_FIELDS))
    await reader.read()


async def ping(target: Target) -> None:
    """Sends pings at full speed on one connection, and reads the answers."""

    async def connection() -> None:
        reader, writer = await asyncio.open_connection(*target.clients)
        reading = asyncio.create_task(read_all(reader))
        while not reading.done():
            writer.write(b"PING\r\n" * 1000)
            await writer.drain()

    await repeat(connection)


async def read_all(reader: asyncio.StreamReader) -> None:
    """Reads to the end."""
    while await reader.read(READ_BYTES):
        pass


async def ping_unread(target: Target) -> None:
    """Sends pings at full speed on many connections, and reads no answer."""

    async def connection() -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, target.clients)
        try:
            while True:
                await loop.sock_sendall(sock, b"PING\r\n" * 1000)
        finally:
            sock.close()

    await crowd(connection)


async def send_unsound(target: Target) -> None:
    """Sends unsound lines at full speed on one connection, and another one when it is closed."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*target.clients)
            writer.write(b"OPEN x!\r\n" * 1000)
            await reader.read()
            writer.close()


async def use_new_names(target: Target) -> None:
    """Sends one request after the other, of new ids, keys and groups, and leaves after its answer."""

    async def connection() -> None:
        reader, writer = await asyncio.open_connection(*target.clients)
        writer.write(request(next(_numbers)))
        await reader.readline()
        writer.close()

    while True:
        with contextlib.suppress(OSError):
            await connection()


async def open_relay(target: Target) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Returns a connection that is established at the server of the attack."""
    while True:
        reader, writer = await asyncio.open_connection(*target.clients)
        writer.write(request(next(_numbers)))
        if await reader.readline() == ESTABLISHED_LINE:
            return reader, writer
        writer.close()


async def start_server(
    target: Target, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]
) -> None:
    """Starts the session server of the attack. It rejects the requests of ordinary clients."""

    async def serve_lines(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                if line.startswith(b"OPEN flood"):
                    writer.write(ESTABLISHED_LINE)
                    await serve(reader, writer)
                writer.write(b"PONG util=0.10,queue=0,x0=0.10\r\n" if line.startswith(b"STATS") else b"BUSY\r\n")

    await asyncio.start_server(serve_lines, *target.listen)


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Sends all bytes back."""
    while data := await reader.read(READ_BYTES):
        writer.write(data)
        await writer.drain()


async def send_lines(target: Target) -> None:
    """Sends small lines at full speed on one established connection, and reads what comes back."""

    async def connection() -> None:
        reader, writer = await open_relay(target)
        reading = asyncio.create_task(read_all(reader))
        while not reading.done():
            writer.write(b"x\r\n" * 2000)
            await writer.drain()

    await start_server(target, echo)
    await repeat(connection)


async def send_lines_unread(target: Target) -> None:
    """Sends small lines at full speed on one established connection, and reads nothing."""

    async def connection() -> None:
        reader, writer = await open_relay(target)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        while not reader.at_eof():
            writer.write(b"x\r\n" * 2000)
            await writer.drain()

    await start_server(target, echo)
    await repeat(connection)


async def call_operators(target: Target) -> None:
    """Asks for the metrics at full speed."""

    async def connection() -> None:
        reader, writer = await asyncio.open_connection(*target.admin)
        writer.write(b"GET /v1/metrics HTTP/1.1\r\n\r\n")
        await reader.read()
        writer.close()

    async def calls() -> None:
        while True:
            with contextlib.suppress(OSError):
                await connection()

    await asyncio.gather(*(calls() for _ in range(OPERATOR_CONNECTIONS)))


async def call_operators_with_fields(target: Target) -> None:
    """Sends heads of very many short fields to the operators' address."""

    async def connection() -> None:
        reader, writer = await asyncio.open_connection(*target.admin)
        writer.write(b"GET /v1/readyz HTTP/1.1\r\n" + b"a:b\r\n" * 3200)
        await reader.read()
        writer.close()

    await asyncio.gather(*(repeat(connection) for _ in range(CROWD)))


async def send_datagrams(target: Target) -> None:
    """Sends datagrams at full speed from a peer's address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(target.peer_source)
    while True:
        for _ in range(64):
            with contextlib.suppress(OSError):
                sock.sendto(b"\x01" + b"z" * 200, target.peer)
        await asyncio.sleep(0)


async def send_upgrade_messages(target: Target) -> None:
    """Sends unusable messages at full speed to the socket of an upgrade, on several connections."""
    path = f"{target.folder}/glenrock-relays.sock"
    message = json.dumps({"version": 1, "line": "x" * 30_000}).encode()

    async def connection() -> None:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.setblocking(False)
            sock.connect(path)
            loop = asyncio.get_running_loop()
            while True:
                await loop.sock_sendall(sock, message)
                await loop.sock_recv(sock, READ_BYTES)

    await asyncio.gather(*(repeat(connection) for _ in range(FLOODED_RELAYS)))


async def serve_discovery(
    target: Target, answer: Callable[[int, asyncio.StreamWriter], Coroutine[Any, Any, None]]
) -> None:
    """Answers each call of discovery at once."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            for number in itertools.count():
                await reader.readuntil(b"\r\n\r\n")
                await answer(number, writer)

    await asyncio.start_server(serve, *target.listen)
    await asyncio.sleep(MAX_ATTACK_S)


def row(name: str, address: tuple[str, int]) -> dict[str, Any]:
    """Returns a row of the endpoint list."""
    return {
        "name": name, "address": f"{address[0]}:{address[1]}", "zone": "a", "type": "m", "group": 0,
        "status": "DRAINING", "weight": 1.0, "since_ms": 0,
    }  # fmt: skip


async def write_list(writer: asyncio.StreamWriter, version: int, rows: list[dict[str, Any]], is_full: bool) -> None:
    """Writes an answer of discovery."""
    body = json.dumps({"index": version, "snapshot": is_full, "endpoints": rows}).encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    await writer.drain()


async def list_new_names(target: Target) -> None:
    """Answers each call at once, with servers of ever new names, and takes the earlier ones away."""

    async def answer(number: int, writer: asyncio.StreamWriter) -> None:
        if not number:
            await write_list(writer, 1, target.rows, is_full=True)
            return
        names = [f"new-{number}-{index}" for index in range(LISTED_NAMES_PER_ANSWER)]
        earlier = [f"new-{number - 1}-{index}" for index in range(LISTED_NAMES_PER_ANSWER)]
        gone = [row(name, target.listen) | {"status": "DELETED"} for name in earlier] if number > 1 else []
        await write_list(writer, 1 + number, gone + [row(name, target.listen) for name in names], is_full=False)

    await serve_discovery(target, answer)


async def list_very_many_rows(target: Target) -> None:
    """Answers each later call with a list of very many unusable rows."""

    async def answer(number: int, writer: asyncio.StreamWriter) -> None:
        rows = target.rows if not number else target.rows + [{} for _ in range(900_000)]
        await write_list(writer, 1 + number, rows, is_full=True)

    await serve_discovery(target, answer)


async def answer_with_endless_head(target: Target) -> None:
    """Answers each later call with header fields without end."""

    async def answer(number: int, writer: asyncio.StreamWriter) -> None:
        if not number:
            await write_list(writer, 1, target.rows, is_full=True)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
        while True:
            writer.write(b"y" * READ_BYTES)
            await writer.drain()

    await serve_discovery(target, answer)


async def report_loads(target: Target) -> None:
    """A session server that sends load lines at full speed on its connections; clients read them."""

    async def serve(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(b"LOAD 1\r\n" * 2000)
            await writer.drain()

    async def connection() -> None:
        reader, _ = await open_relay(target)
        await read_all(reader)

    await start_server(target, serve)
    await asyncio.gather(*(repeat(connection) for _ in range(FLOODED_RELAYS)))


ATTACKS: dict[str, Attack] = {
    "slow-writers": client_attack(write_slowly),
    "half-requests": client_attack(stop_half_way),
    "many-fields": client_attack(send_many_fields),
    "pings": ping,
    "pings-unread": ping_unread,
    "unsound": send_unsound,
    "new-names": use_new_names,
    "relay-lines": send_lines,
    "relay-unread": send_lines_unread,
    "operators": call_operators,
    "operators-fields": call_operators_with_fields,
    "gossip": send_datagrams,
    "upgrade": send_upgrade_messages,
    "discovery-names": list_new_names,
    "discovery-rows": list_very_many_rows,
    "discovery-head": answer_with_endless_head,
    "server-loads": report_loads,
}


async def main(name: str, target: Target) -> None:
    """Runs an attack."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(MAX_ATTACK_S):
            await ATTACKS[name](target)


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], Target.decode(sys.argv[2])))
