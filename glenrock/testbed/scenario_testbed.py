"""The parts of a scenario's run: balancer processes among modelled servers, discovery, a front end and clients."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..simulation import spec as lab
from ..simulation.measure import Measure
from ..simulation.model import plan as plans
from ..simulation.model import shapes
from ..simulation.model.client import Habits
from ..simulation.model.plan import Row
from ..simulation.streams import Streams
from . import balancer_settings
from .balancer_process import BalancerProcess
from .discovery_service import DiscoveryService
from .frontend import Frontend
from .history import US_PER_S, History
from .loopback import Address, LoopbackNetwork, RealTimeEngine
from .modelled_servers import ModelledServer
from .network_faults import NetworkPaths
from .network_relays import DatagramRelays, StreamRelay
from .scenario import Scenario, Strikes, Way, drawn_number
from .scenario_clients import ScenarioClients

if TYPE_CHECKING:
    from .coordination_store import CoordinationStore

STANDING_TIMEOUT_S = 40.0  # for connections that were open before the run to be set up again
MAX_RELAYED_BALANCERS = 40  # above this, gossip that no fault strikes is not relayed: each ordered pair takes a socket
START_GAP_S = 0.005
POLL_S = 0.02


class BalancersNotReadyError(Exception):
    """A balancer did not answer PING in time; the message names it and its log."""


class ScenarioTestbed:
    """All parts of one run of a scenario but its faults. They share one event loop; balancers are processes.

    Attributes:
        scenario: as drawn by the seed.
        balancers, servers: by number.
        history: events of all parties.
        measure: figures of the run, in the simulation's form.
        store: the coordination store; None where the scenario names none.
        is_measuring: whether the measured part of the run is on.
        clients_by_request: row of the workload, by request id.
    """

    def __init__(self, scenario: Scenario, seed: int, folder: Path, network: LoopbackNetwork) -> None:
        self.scenario: Scenario = lab.drawn(scenario, seed)  # type: ignore[assignment]
        self.seed, self.folder, self.network = seed, folder, network
        self.streams = Streams(seed)
        self.server_shapes = shapes.shapes(self.scenario, self.streams)
        capacity = sum(shape.cores * shape.speed for shape in self.server_shapes) * US_PER_S
        self.plan = plans.plan(self.scenario, self.streams, capacity)
        self.balancer_count = int(drawn_number(self.scenario.fleet.balancers))
        self.length_s = drawn_number(self.scenario.length_s)
        self.measure = Measure(self.scenario, self.plan.asked, 0, len(self.server_shapes))
        self.clients_by_request: dict[str, Row] = {}
        self.paths = NetworkPaths(_planned_path_faults(self.scenario))
        self.stream_relays: list[StreamRelay] = []
        self.balancers: list[BalancerProcess] = []
        self.store: CoordinationStore | None = None
        self.is_measuring = False
        self.started_s = 0.0

    # -- building --------------------------------------------------------------------------------------

    def build(self) -> None:
        """Creates every part but the processes. Sockets are bound and nothing is served yet."""
        scenario, rig = self.scenario, self.scenario.rig
        self.engine = RealTimeEngine()
        self.history = History(lambda: self.engine.now)
        self.servers = self._build_servers()
        addresses = {
            (balancer, server.number): self.path_address(f"balancer:{balancer}", server.party, server.address(balancer))
            for balancer in range(self.balancer_count)
            for server in self.servers
        }
        self.discovery = DiscoveryService(
            self.servers,
            addresses,
            self.history,
            self.network,
            self.balancer_count,
            drawn_number(rig.call_ms),
            drawn_number(rig.line_s),
        )
        has_gossip_faults = any(fault.source[:4] == fault.target[:4] for fault in self.paths.planned)
        is_relayed = has_gossip_faults or bool(scenario.together.store) or self.balancer_count <= MAX_RELAYED_BALANCERS
        self.datagram_relays = DatagramRelays(self.paths, self.network, self.balancer_count, self.seed, is_relayed)
        entrances = [
            self.path_address("clients", f"balancer:{number}", self.network.balancer(number))
            for number in range(self.balancer_count)
        ]
        self.frontend = Frontend(
            entrances, drawn_number(scenario.front.notice_s), drawn_number(rig.admit_s), self.history, self.seed
        )
        self.clients = ScenarioClients(
            scenario,
            self.plan.rows,
            self.frontend,
            entrances,
            Habits(scenario.clients, self.streams),
            self.engine,
            self.history,
            self.clients_by_request,
            self.measure.counts,
            self.measure.waits,
        )
        if scenario.together.store:
            from .coordination_store import CoordinationStore  # loads aiohttp, which runs without a store do not need

            self.store = CoordinationStore(
                scenario.together, self.folder, self.network, self.balancer_count, self.path_address
            )

    def _build_servers(self) -> list[ModelledServer]:
        scenario = self.scenario
        noise, work = self.streams.normals("report noise"), self.streams.exponentials("set-up work")
        setups = [(drawn_number(kind.setup_ms) * 1000, kind.setup_spread == "exp") for kind in scenario.classes]

        def setup_work_us(row: Row) -> float:
            mean_us, is_exponential = setups[row.kind]
            return mean_us * work() if is_exponential else mean_us

        figures = shapes.figures(scenario)
        return [
            ModelledServer(
                number,
                f"s-{number:03d}",
                shape,
                figures,
                scenario,
                self.engine,
                self.history,
                self.clients_by_request,
                self.network,
                noise,
                self._earn,
                setup_work_us,
                self.measure.credit,
            )
            for number, shape in enumerate(self.server_shapes)
        ]

    def _earn(self, at_us: int, kind: int, worth: float) -> None:
        if self.is_measuring:
            self.measure.earn(at_us - self.engine.day, kind, worth)

    def path_address(self, source: str, target: str, address: Address) -> Address:
        """Returns the address that `source` gets for `target`: its own, or a relay's where a fault is planned."""
        if not self.paths.needs(source, target):
            return address
        relay = StreamRelay(self.paths, source, target, self.network.next(), address)
        self.stream_relays.append(relay)
        return relay.listener.address

    def _balancer_config(self, number: int) -> dict[str, Any]:
        scenario = self.scenario
        settings = lab.settings_of(scenario, number, scenario.fleet.zones[0], self.plan.quotas)
        discovery = self.path_address(f"balancer:{number}", "list", self.discovery.address(number))
        config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": _text(self.network.balancer(number)),
            "discovery": _text(discovery),
            "seed": f"{self.seed * 1000 + number:x}",
            "limits": {"sockets": scenario.rig.sockets},
            "settings": balancer_settings.settings(settings, tuple(tenant.name for tenant in scenario.tenants)),
            "peer_listen": _text(self.network.peer(number)),
            "peers": self.datagram_relays.peers_of(number),
        }
        if self.store:
            config |= {"fleet": str(self.store.write_fleet_file(number)), "admin": _text(self.network.admin(number))}
        if scenario.rig.known:
            config["known"] = self.discovery.answer(number, None)
        return config

    # -- running ---------------------------------------------------------------------------------------

    async def open_stand_ins(self) -> None:
        """Serves everything that balancers connect to."""
        for server in self.servers:
            server.begin()
        self.discovery.open()
        await self.datagram_relays.open()
        if self.store:
            await self.store.open()

    async def start_balancers(self) -> None:
        """Starts all processes, and waits for the connections that were open before the run.

        Raises:
            BalancersNotReadyError: a process does not answer PING in time.
        """
        for number in range(self.balancer_count):
            config = self._balancer_config(number)
            folder = self.folder / f"balancer-{number}"
            memory_mb = self.scenario.rig.memory_mb
            self.balancers.append(BalancerProcess(number, folder, config, memory_mb=memory_mb, history=self.history))
        for relay in self.stream_relays:
            relay.open()
        self.started_s = asyncio.get_running_loop().time()
        for balancer in self.balancers:
            balancer.start()
            await asyncio.sleep(START_GAP_S)  # a start takes tens of milliseconds of the loop that serves the others
        self.frontend.open()
        await self._wait_until_ready()
        self.clients.place(self.balancer_count, [server.name for server in self.servers])
        until_s = asyncio.get_running_loop().time() + STANDING_TIMEOUT_S
        while self.clients.before and asyncio.get_running_loop().time() < until_s:  # noqa: ASYNC110 - bounded in time
            await asyncio.sleep(POLL_S)

    async def _wait_until_ready(self) -> None:
        until_s = asyncio.get_running_loop().time() + drawn_number(self.scenario.rig.ready_s)
        while len(self.frontend.known) < self.balancer_count:
            if asyncio.get_running_loop().time() > until_s:
                missing = min(set(range(self.balancer_count)) - self.frontend.known)
                raise BalancersNotReadyError(
                    f"balancer {missing} did not answer PING in time; its log: {self.balancers[missing].log_path}"
                )
            await asyncio.sleep(POLL_S)

    def close(self) -> None:
        """Ends all processes and sockets. Clients end first, so that none sees the end of its balancer."""
        self.engine.closed = True
        self.clients.close()
        self.frontend.close()
        for balancer in self.balancers:
            balancer.end()
        for relay in self.stream_relays:
            relay.close()
        self.discovery.close()
        self.datagram_relays.close()
        for server in self.servers:
            server.close()


def _planned_path_faults(scenario: Scenario) -> tuple[Way, ...]:
    planned = tuple(fault for fault in scenario.faults if isinstance(fault, Way))
    if any(isinstance(fault, Strikes) and "store_cut" in fault.kinds for fault in scenario.faults):
        # The struck balancer is drawn later, so each of them needs a relay to the store.
        planned += (Way(at_s=0.0, source="balancer:*", target="store", cut=True),)
    return planned


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
