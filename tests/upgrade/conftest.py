"""Starts balancer processes that share a listening socket, with their servers and service discovery, on loopback."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import re
import socket
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from net.discovery_answers import endpoint_list_response, endpoint_row, http_response

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = {
    "balancers": 1,
    "caps": {"maxAttempts": 3, "cancel": True, "retryAfter": True, "maxRetryAfterUs": 500000},
    "classes": [{"name": "look", "targetUs": 300000, "deadlineUs": 1000000}],
    "obligations": {"coldUs": 9000000},
}
MAX_READY_POLLS = 200
READY_POLL_S = 0.05
CHANGE_POLL_S = 0.01
WATCH_PATTERN = re.compile(rb"GET /discovery/hosts\?index=(?P<version>\d+)&wait=(?P<wait_ms>\d+) ")
LOG_FILE_MODE = 0o644
OVERRIDING_VARIABLES = ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY")  # would override keys of the configuration file


def unused_port() -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def address_of(server: asyncio.Server) -> str:
    """Returns the address of a server, as `host:port`."""
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class UpgradeRig:
    """A test environment for upgrades: two servers, service discovery, a listening socket and balancer processes.

    The servers answer OPEN with UP, but for ids that begin with `silent`, and echo all other lines.

    Attributes:
        folder: the folder that the processes share. It also holds their configuration files and logs.
        listening_socket: the socket that accepts clients. All processes inherit it.
        client_port: the port of the listening socket.
        connection_counts: how many connections each server has had.
        opened_ids: how often each request id has come to a server.
        processes: the balancer processes, in the order of their start.
        settings: the settings of processes that are started from now on.
        is_discovery_silent: whether service discovery leaves calls without an answer.
        is_silent_to_new_connections: the same, for calls on connections that are opened from now on.
        cached_list: the list in the configuration of processes that are started from now on.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.listening_socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        os.set_inheritable(self.listening_socket.fileno(), True)
        self.client_port = self.listening_socket.getsockname()[1]
        self.connection_counts = {"s1": 0, "s2": 0}
        self.opened_ids: Counter[bytes] = Counter()
        self.processes: list[asyncio.subprocess.Process] = []
        self.settings: dict[str, Any] = dict(SETTINGS)
        self.is_discovery_silent = False
        self.is_silent_to_new_connections = False
        self._servers: list[asyncio.Server] = []

    async def open(self) -> None:
        """Starts the servers and service discovery."""
        for name in self.connection_counts:
            server = await asyncio.start_server(functools.partial(self._answer_client, name), "127.0.0.1", 0)
            self._servers.append(server)
        self.report_endpoints(version=2)
        self.cached_list = self._endpoint_list
        self._servers.append(await asyncio.start_server(self._serve_endpoint_list, "127.0.0.1", 0))

    @property
    def discovery(self) -> asyncio.Server:
        """Service discovery."""
        return self._servers[-1]

    def report_endpoints(self, version: int, since_ms: float = 0.0, **statuses: str) -> None:
        """Makes service discovery answer with all servers from now on, in these statuses, or else `SERVING`.

        Args:
            version: the version of the list.
            since_ms: when all servers started, in Unix milliseconds.
            statuses: statuses by server.
        """
        rows = [
            endpoint_row(name, address_of(server), statuses.get(name, "SERVING"), since_ms=since_ms)
            for name, server in zip(self.connection_counts, self._servers, strict=False)
        ]
        self._endpoint_list = endpoint_list_response(version, rows)

    async def _answer_client(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                if line.startswith(b"OPEN"):
                    self.connection_counts[name] += 1
                    request_id = line.split()[1]
                    self.opened_ids[request_id] += 1
                    if request_id.startswith(b"silent"):
                        continue
                    line = b"UP r\r\n"
                writer.write(line)
        finally:
            writer.close()

    async def _serve_endpoint_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_silent = self.is_silent_to_new_connections
        try:
            while line := await reader.readline():
                watch = WATCH_PATTERN.match(line)
                if watch:
                    await self._wait_for_change(int(watch["version"]), int(watch["wait_ms"]))
                if is_silent or self.is_discovery_silent:
                    continue
                if watch and int(watch["version"]) >= self._endpoint_list["index"]:
                    writer.write(http_response(endpoint_list_response(int(watch["version"]), [], is_full=False)))
                elif watch or line.startswith(b"GET /discovery/hosts HTTP"):
                    writer.write(http_response(self._endpoint_list))
        finally:
            writer.close()

    async def _wait_for_change(self, version: int, wait_ms: int) -> None:
        """Waits until the list is newer than `version`, for at most `wait_ms`."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000
        while self._endpoint_list["index"] <= version and loop.time() < end_s:  # noqa: ASYNC110 - ends with the time too
            await asyncio.sleep(CHANGE_POLL_S)

    async def start_process(self) -> int:
        """Starts a balancer process, and waits until it is ready. Returns the port for operators' calls."""
        number = len(self.processes)
        admin_port = await self.launch_process()
        for _ in range(MAX_READY_POLLS):
            try:
                if (await self.call(admin_port, "GET", "readyz")).startswith("200"):
                    return admin_port
            except ConnectionError:
                pass
            await asyncio.sleep(READY_POLL_S)
        raise AssertionError(self.log(number))

    async def launch_process(self) -> int:
        """Starts a balancer process without waiting until it is ready. Returns the port for operators' calls."""
        number = len(self.processes)
        admin_port = unused_port()
        descriptor = self.listening_socket.fileno()
        environment = self._environment(self._write_config(number), admin_port, descriptor)
        log = os.open(self._log_file(number), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, LOG_FILE_MODE)
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "glenrock", cwd=ROOT, env=environment, pass_fds=(descriptor,), stderr=log
            )
        finally:
            os.close(log)
        self.processes.append(process)
        return admin_port

    def _write_config(self, number: int) -> Path:
        config_file = self.folder / f"config{number}.json"
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.client_port}",
            "seed": "7",
            "settings": self.settings,
            "known": self.cached_list,
            "discovery": address_of(self.discovery),
        }
        config_file.write_text(json.dumps(config))
        return config_file

    def _environment(self, config_file: Path, admin_port: int, descriptor: int) -> dict[str, str]:
        inherited = {name: value for name, value in os.environ.items() if name not in OVERRIDING_VARIABLES}
        return {
            **inherited,
            "LB_CONFIG": str(config_file),
            "LB_ADMIN": f"127.0.0.1:{admin_port}",
            "TMPDIR": str(self.folder),
            "LB_ACCEPT_FD": str(descriptor),
        }

    def _log_file(self, number: int) -> Path:
        return self.folder / f"log{number}"

    def log(self, number: int) -> str:
        """Returns the log of a process."""
        return self._log_file(number).read_text()

    async def call(self, admin_port: int, method: str, path: str) -> str:
        """Makes an operator's call. Returns the status code and the body, separated by a space."""
        reader, writer = await asyncio.open_connection("127.0.0.1", admin_port)
        writer.write(f"{method} /v1/{path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return f"{head.split()[1].decode()} {body.decode()}"

    async def close(self) -> None:
        """Kills the remaining processes, and closes the servers and the listening socket."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in self._servers:
            server.close()
        self.listening_socket.close()


Scenario = Callable[[UpgradeRig], Awaitable[None]]
RunWithRig = Callable[[Scenario], None]


@pytest.fixture
def run_with_rig(tmp_path: Path) -> RunWithRig:
    """Returns a function that opens a rig, runs a scenario with it, and closes it."""

    async def run_scenario(scenario: Scenario) -> None:
        rig = UpgradeRig(tmp_path)
        await rig.open()
        try:
            await scenario(rig)
        finally:
            await rig.close()

    return lambda scenario: asyncio.run(run_scenario(scenario))
