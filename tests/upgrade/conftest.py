"""Real processes of the program on loopback that share a listening socket, with their servers and discovery."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = {
    "balancers": 1,
    "caps": {"maxAttempts": 3, "cancel": True, "retryAfter": True, "maxRetryAfterUs": 500000},
    "classes": [{"name": "look", "targetUs": 300000, "deadlineUs": 1000000}],
    "obligations": {"coldUs": 9000000},
}
MAX_READY_POLLS = 200
READY_POLL_S = 0.05


def unused_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def address_of(server: asyncio.Server) -> str:
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class UpgradeSite:
    """Two servers that answer UP and echo lines, discovery, the clients' listening socket, and processes.

    Attributes:
        client_port: where clients connect.
        connection_counts: of the connections that each server has had.
        processes: of the program, in the order of their start.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.listening_socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        os.set_inheritable(self.listening_socket.fileno(), True)
        self.client_port = self.listening_socket.getsockname()[1]
        self.connection_counts = {"s1": 0, "s2": 0}
        self.processes: list[asyncio.subprocess.Process] = []
        self._servers: list[asyncio.Server] = []

    async def open(self) -> None:
        rows = []
        for name in self.connection_counts:
            server = await asyncio.start_server(
                lambda reader, writer, name=name: self._serve(name, reader, writer), "127.0.0.1", 0
            )
            self._servers.append(server)
            rows.append(
                {
                    "name": name,
                    "address": address_of(server),
                    "zone": "a",
                    "type": "m",
                    "group": 0,
                    "status": "SERVING",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            )
        self._endpoint_list = {"index": 2, "snapshot": True, "endpoints": rows}
        self._servers.append(await asyncio.start_server(self._discover, "127.0.0.1", 0))

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"OPEN"):
                self.connection_counts[name] += 1
                line = b"UP r\r\n"
            writer.write(line)
        writer.close()

    async def _discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET /discovery/hosts HTTP"):
                body = json.dumps(self._endpoint_list).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def start_process(self) -> int:
        """Starts a further process. Returns its operators' port once it is ready."""
        admin_port, number = unused_port(), len(self.processes)
        config_file = self.folder / f"config{number}.json"
        config_file.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.client_port}",
                    "seed": "7",
                    "settings": SETTINGS,
                    "known": self._endpoint_list,
                    "discovery": address_of(self._servers[-1]),
                }
            )
        )
        descriptor = self.listening_socket.fileno()
        env = {
            **os.environ,
            "LB_CONFIG": str(config_file),
            "LB_ADMIN": f"127.0.0.1:{admin_port}",
            "TMPDIR": str(self.folder),
            "LB_ACCEPT_FD": str(descriptor),
        }
        for name in ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY"):
            env.pop(name, None)
        with open(self.folder / f"log{number}", "wb") as log:
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "glenrock", cwd=ROOT, env=env, pass_fds=(descriptor,), stderr=log
                )
            )
        for _ in range(MAX_READY_POLLS):
            try:
                if (await self.call(admin_port, "GET", "readyz")).startswith("200"):
                    return admin_port
            except ConnectionError:
                pass
            await asyncio.sleep(READY_POLL_S)
        raise AssertionError(self.log(number))

    def log(self, number: int) -> str:
        """Returns what a process has logged."""
        return (self.folder / f"log{number}").read_text()

    async def call(self, admin_port: int, method: str, path: str) -> str:
        """Makes an operator's call. Returns status and body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", admin_port)
        writer.write(f"{method} /v1/{path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return f"{head.split()[1].decode()} {body.decode()}"

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in self._servers:
            server.close()
        self.listening_socket.close()


Scenario = Callable[[UpgradeSite], Awaitable[None]]


@pytest.fixture
def run_on_site(tmp_path: Path) -> Callable[[Scenario], None]:
    """Runs a scenario on an open site, and closes the site."""

    async def run_scenario(scenario: Scenario) -> None:
        site = UpgradeSite(tmp_path)
        await site.open()
        try:
            await scenario(site)
        finally:
            await site.close()

    return lambda scenario: asyncio.run(run_scenario(scenario))
