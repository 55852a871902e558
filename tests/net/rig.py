"""A program with a clock that the test sets, among raw sockets on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable

from glenrock.config import parse_config
from glenrock.net.client_connection import ClientConnection
from glenrock.net.clock import ManualClock
from glenrock.program import Program

from .loopback_delivery import ConnectTrackingLoop, DeliveryBarrier
from .settings import SETTINGS

REQUEST_LINE = b"OPEN x1 1 c=look,d=1500\r\n"


def close_socket(sock: socket.socket, reset: bool) -> None:
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def create_listener(backlog: int = 16) -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0), backlog=backlog)
    sock.setblocking(False)
    return sock


def address_of(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


def reject_request(rig: LoopbackRig, connection) -> None:
    """Rejects a request as routing does: it forgets the request, and the answer is in the connection's mailbox."""
    balancer = rig.program.routing.balancer
    if connection.request_line.request_id in balancer.requests:
        balancer.lifecycle.client_disconnected(connection.request_line.request_id)
        connection.reject(500.0)


class LoopbackRig:
    """A program whose clock the test advances, with raw sockets for clients, servers and discovery."""

    def __init__(self) -> None:
        self.clock, self.listeners, self.open_sockets = ManualClock(), {}, []
        self.loop = asyncio.get_running_loop()
        assert isinstance(self.loop, ConnectTrackingLoop)
        self.delivery = DeliveryBarrier()

    async def open(self, *names: str, effect: str = "safe", **over) -> LoopbackRig:
        self.listeners = {name: create_listener() for name in names or ("s1",)}
        self.discovery, self.version = create_listener(), 1
        classes = [{**SETTINGS["classes"][0], "effect": effect}]
        self.program = Program(
            parse_config(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "7",
                    "known": self.endpoint_list(),
                    "discovery": address_of(self.discovery),
                    "settings": {**SETTINGS, "balancers": 1, "classes": classes, **over},
                }
            ),
            self.clock,
        )
        self.acceptor, self.connections = self.program.acceptor, self.program.connections.by_id
        starting = asyncio.create_task(self.program.start())
        self.discovery_connection = await self.accept_connection(self.discovery)
        await self.wait_until(lambda: self.read(self.discovery_connection).startswith(b"GET /discovery/hosts HTTP"))
        self.report_endpoints()
        await starting
        self.port = self.acceptor.listener.getsockname()[1]
        return self

    def endpoint_list(self, **states: str) -> dict:
        rows = [
            {
                "name": name,
                "address": address_of(sock),
                "zone": "a",
                "type": "m",
                "group": 0,
                "status": states.get(name, "SERVING"),
                "weight": 1.0,
                "since_ms": 0,
            }
            for name, sock in self.listeners.items()
        ]
        return {"index": self.version, "snapshot": True, "endpoints": rows}

    def report_endpoints(self, **states: str) -> None:
        self.version += 1
        body = json.dumps(self.endpoint_list(**states)).encode()
        self.discovery_connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def connect_client(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.port))
        if data:
            sock.sendall(data)
        return self.keep(sock)

    def keep(self, sock: socket.socket) -> socket.socket:
        sock.setblocking(False)
        self.open_sockets.append(sock)
        return sock

    async def accept_connection(self, listener: socket.socket) -> socket.socket:
        async with asyncio.timeout(5):
            sock, _ = await asyncio.get_running_loop().sock_accept(listener)
        return self.keep(sock)

    async def accept_request(self, name: str) -> socket.socket:
        """Accepts the next connection at a server, and reads its request line."""
        sock = await self.accept_connection(self.listeners[name])
        received = await self.wait_until(lambda: self.read(sock))
        assert received.startswith(b"OPEN "), received
        return sock

    def read(self, sock: socket.socket) -> bytes:
        try:
            return sock.recv(1 << 16)
        except BlockingIOError:
            return b""

    async def wait_until(self, what: Callable[[], object]) -> object:
        async with asyncio.timeout(5):
            while not (received := what()):
                await asyncio.sleep(0)
        return received

    async def read_to_end(self, sock: socket.socket) -> tuple[bytes, str]:
        """Returns all bytes until the end, and whether the end is a fin or a reset."""
        data = b""
        async with asyncio.timeout(5):
            while True:
                await asyncio.sleep(0)
                try:
                    received = sock.recv(1 << 16)
                except BlockingIOError:
                    continue
                except ConnectionError:
                    return data, "reset"
                if not received:
                    return data, "fin"
                data += received

    async def advance(self, ms: float) -> None:
        for _ in range(int(ms // 10)):
            await self.run_loop()
            self.clock.advance(10)
        await self.run_loop()

    async def run_loop(self) -> None:
        """Runs the loop ten times, and until the kernel has delivered and connected what is under way."""
        for _ in range(10):
            await asyncio.sleep(0.0002)
            self.delivery.wait()
        while self.loop.has_pending_connect():
            await asyncio.sleep(0)

    async def start_request(self) -> tuple[socket.socket, socket.socket, ClientConnection]:
        """Starts a program with a request that waits for the answer of its server."""
        await self.open()
        client = self.connect_client(REQUEST_LINE)
        return client, await self.accept_request("s1"), self.connections["x1"]

    async def establish(self, data: bytes = REQUEST_LINE) -> tuple[socket.socket, socket.socket]:
        client = self.connect_client(data)
        server_side = await self.accept_request("s1")
        server_side.sendall(b"UP r\r\n")
        assert await self.wait_until(lambda: self.read(client)) == b"UP r\r\n"
        return client, server_side

    async def check_nothing_was_sent(self) -> None:
        """Checks that no request line was sent to a server, and that the client's connection has ended."""
        await self.wait_until(lambda: not self.connections and not self.acceptor.tasks)
        await self.advance(700)
        for listener in self.listeners.values():
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock, _ = listener.accept()
                    sock.setblocking(False)
                    data, _ = await self.read_to_end(sock)
                    sock.close()
                    assert b"OPEN" not in data
        assert not self.program.routing.balancer.requests


def run_on_rig(scenario: Callable[[LoopbackRig], Awaitable[None]]) -> None:
    async def play() -> None:
        rig = LoopbackRig()
        try:
            await asyncio.wait_for(scenario(rig), 20)
        finally:
            rig.delivery.close()

    with asyncio.Runner(loop_factory=ConnectTrackingLoop) as runner:
        runner.run(play())
