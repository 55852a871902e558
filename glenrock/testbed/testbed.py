"""The testbed of soaks and tests: balancer processes among scripted session servers, discovery and clients."""

from __future__ import annotations

import asyncio
import itertools
import os
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..routing.interface import LOAD_RATIO, UTILIZATION, Idempotency, RequestClass, Settings
from .balancer_process import ROOT, BalancerProcess
from .balancer_settings import encode_settings
from .call_faults import CallFaults
from .client_io import ping
from .clients import Client, ClientPlan
from .discovery_agent import DiscoveryAgent, RecordingObserver
from .endpoint_directory import EndpointDirectory, ListedServer
from .loopback import LoopbackNetwork, format_address
from .records import RunRecord
from .request_line import READY_LINE
from .session_servers import ScriptedServer
from .waiting import POLL_S, wait_until

READY_TIMEOUT_S = 30.0
ZONE, SERVER_GROUPS = "a", 4  # of the listed servers
NETWORK_STEP = 251  # between the networks of one process
SERVICE = "lookup"
US_PER_MS = 1000
TICK_US = 2000  # of routing's timers
MAX_RETRY_AFTER_US = 1_000_000
CONNECT_TIMEOUT_US = 200_000
SLOW_START_INITIAL_FRACTION, SLOW_START_US = 0.4, 5_000_000
SLOW_START_MULTIPLE, SLOW_START_WINDOW_US = 3.0, 3_000_000
HEALTH_CHECK_COST = 0.0015  # of the platform's result
_networks = itertools.count()


@dataclass(frozen=True)
class FleetShape:
    """What a testbed is made of.

    Attributes:
        balancers: processes.
        servers: session servers, each with an address of its own.
        descriptors: limit of each process.
        deadline_ms: of the one class.
        idempotency: of that class. `window_ms`: in which a keyed request may execute again.
        drain_grace_ms: after which nothing goes to a draining server.
        max_attempts: of a request.
        health_checks: balancers may check servers and get load reports.
        must_poll: discovery is a service that is polled, and no agent on the balancer's machine.
        groups: that clients belong to; 0: none.
    """

    balancers: int = 1
    servers: int = 60
    descriptors: int = 1024
    deadline_ms: float = 1800.0
    idempotency: Idempotency = Idempotency.SAFE
    window_ms: float = 0.0
    drain_grace_ms: float = 2500.0
    max_attempts: int = 4
    health_checks: bool = True
    must_poll: bool = False
    groups: int = 0


def settings_of(shape: FleetShape, number: int) -> Settings:
    """Returns the settings of a balancer."""
    deadline_us = int(shape.deadline_ms * US_PER_MS)
    request_class = RequestClass(
        SERVICE,
        latency_objective_us=deadline_us // 2,
        deadline_us=deadline_us,
        idempotency=shape.idempotency,
        idempotency_window_us=int(shape.window_ms * US_PER_MS),
    )
    return Settings(
        classes=(request_class,),
        zone=ZONE,
        index=number,
        balancers=shape.balancers,
        tick_us=TICK_US,
        max_attempts=shape.max_attempts,
        may_cancel=True,
        may_health_check=shape.health_checks,
        may_gossip=shape.balancers > 1,
        max_retry_after_us=MAX_RETRY_AFTER_US,
        connect_timeout_us=CONNECT_TIMEOUT_US,
        must_poll_endpoints=shape.must_poll,
        drain_grace_us=int(shape.drain_grace_ms * US_PER_MS),
        slow_start_initial_fraction=SLOW_START_INITIAL_FRACTION,
        slow_start_us=SLOW_START_US,
        slow_start_multiple=SLOW_START_MULTIPLE,
        slow_start_window_us=SLOW_START_WINDOW_US,
        load_report_fields=(UTILIZATION, "backlog", LOAD_RATIO) if shape.health_checks else (),
        health_check_cost=HEALTH_CHECK_COST,
    )


class Testbed:
    """All parts of a run.

    Attributes:
        record: what the stand-ins saw.
        servers: by name. `agents`, `processes`: by number.
    """

    __test__ = False  # pytest collects classes whose names begin with Test

    def __init__(self, shape: FleetShape, folder: Path | None = None, source: Path = ROOT) -> None:
        self.shape = shape
        self.record = RunRecord()
        self.network = LoopbackNetwork(next(_networks) * NETWORK_STEP + os.getpid())
        self.directory = EndpointDirectory()
        self.servers: dict[str, ScriptedServer] = {}
        self.agents: list[DiscoveryAgent] = []
        self.processes: list[BalancerProcess] = []
        self._temporary = None if folder else tempfile.TemporaryDirectory(prefix="glenrock-testbed-")
        self.folder = folder or Path(self._temporary.name)  # type: ignore[union-attr]
        self._source = source
        self._clients: set[asyncio.Task[Any]] = set()
        self._ids = itertools.count(1)

    async def __aenter__(self) -> Testbed:
        for number in range(self.shape.servers):
            self.add_server(f"s-{number:08x}")
        for number in range(self.shape.balancers):
            agent = self.new_agent(number)
            agent.open()
            self.agents.append(agent)
            self.processes.append(
                BalancerProcess(number, self.folder / f"n{number}", self._config(number), self._source)
            )
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._clients:
            task.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        for process in self.processes:
            process.end()
        for agent in self.agents:
            agent.close()
        for server in self.servers.values():
            server.close()
        if self._temporary:
            self._temporary.cleanup()

    def new_agent(self, number: int) -> DiscoveryAgent:
        """Returns a discovery agent of a balancer on a new address; it is not open yet."""
        return DiscoveryAgent(number, self.network.next(), self.directory, RecordingObserver(self.record))

    def add_server(self, name: str, since_ms: float = 0.0) -> ScriptedServer:
        """Starts a session server and lists it."""
        server = ScriptedServer(name, self.network.next(), self.record)
        server.start()
        self.servers[name] = server
        listed = ListedServer(
            name, server.address(), zone=ZONE, group=len(self.servers) % SERVER_GROUPS, since_ms=since_ms
        )
        self.directory.add(listed)
        return server

    def _config(self, number: int) -> dict[str, Any]:
        peers = [format_address(self.network.peer(peer)) for peer in range(self.shape.balancers)]
        config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": format_address(self.network.balancer(number)),
            "discovery": format_address(self.agents[number].address),
            "admin": format_address(self.network.admin(number)),
            "seed": f"{number + 1:x}",
            "limits": {"sockets": self.shape.descriptors},
            "settings": encode_settings(settings_of(self.shape, number)),
        }
        if self.shape.balancers > 1:
            config |= {"peer_listen": peers[number], "peers": peers}
        return config

    def prepare_call_faults(self, number: int, seed: int = 1) -> CallFaults:
        """Returns the call faults of a balancer's next incarnations."""
        process = self.processes[number]
        process.write_config()
        faults = CallFaults(process.folder, seed)
        process.environment |= faults.environment()
        return faults

    async def start_balancers(self) -> None:
        """Starts all processes, and waits until each answers PING.

        Raises:
            TimeoutError: a process does not.
        """
        for process in self.processes:
            process.start()
        await asyncio.gather(*(self.wait_until_ready(process) for process in self.processes))

    async def wait_until_ready(self, process: BalancerProcess) -> None:
        """Waits until a process answers PING.

        Raises:
            TimeoutError: it does not.
        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            if await ping(process.address) == READY_LINE:
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"balancer {process.number} is not ready: {process.log_lines()[-5:]}")

    def start_client(self, balancer: int, **plan: Any) -> Client:
        """Starts a client of a balancer; `plan` has the fields of `ClientPlan` that differ from the usual."""
        number = next(self._ids)
        values: dict[str, Any] = {
            "request_id": f"{number:012x}",
            "key": number,
            "service": SERVICE,
            "deadline_ms": self.shape.deadline_ms,
            "idempotency": self.shape.idempotency,
        }
        if self.shape.groups:
            values["group"] = number % self.shape.groups + 1
        client = Client(ClientPlan(balancer, **(values | plan)), self.processes[balancer].address, self.record)
        task = asyncio.get_running_loop().create_task(client.run())
        self._clients.add(task)
        task.add_done_callback(self._clients.discard)
        return client

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Waits until a condition is met. Returns False where it is not met in time."""
        return await wait_until(condition, timeout_s)
