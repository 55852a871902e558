"""The parts of a scenario's run: balancer processes among modelled servers, discovery, a front end and clients."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .balancer_process import BalancerProcess
from .balancer_settings import encode_settings
from .call_queue import CallQueue
from .discovery_agent import DiscoveryAgent
from .endpoint_directory import EndpointDirectory, EndpointStatus, ListedServer
from .frontend import Frontend
from .history import US_PER_S, History
from .history_events import DiscoveryCalled, ListChanged, ServerListed
from .loopback import Address, LoopbackNetwork, format_address
from .modelled_servers import ModelledServer, ServerEnvironment
from .network_faults import NetworkPaths
from .network_relays import DatagramRelays, StreamRelay
from .real_time_engine import RealTimeEngine
from .records import CLIENTS, DISCOVERY, STORE, balancer_party
from .request_line import RESUME_TIMEOUT_S
from .scenario import PathFault, RandomFaultKind, RandomFaults, Scenario, drawn_number
from .scenario_clients import ClientEnvironment, ScenarioClients
from .simulation_model import (
    ClientDelays,
    Measurements,
    PlannedClient,
    Streams,
    draw_ranges,
    draw_server_shapes,
    draw_workload,
    make_settings,
    server_parameters,
)
from .waiting import wait_until

if TYPE_CHECKING:
    from .coordination_store import CoordinationStore

MAX_RELAYED_BALANCERS = 40  # above this, gossip that no fault affects is not relayed: each ordered pair takes a socket
START_GAP_S = 0.005


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
        agents: discovery of each balancer. `call_queue`: their calls, which one service serves.
        is_measuring: whether the measured part of the run is on.
        clients_by_request: row of the workload, by request id.
    """

    def __init__(self, scenario: Scenario, seed: int, folder: Path, network: LoopbackNetwork) -> None:
        self.scenario: Scenario = draw_ranges(scenario, seed)  # type: ignore[assignment]
        self.seed, self.folder, self.network = seed, folder, network
        self.streams = Streams(seed)
        self.server_shapes = draw_server_shapes(self.scenario, self.streams)
        capacity = sum(shape.cores * shape.speed for shape in self.server_shapes) * US_PER_S
        self.workload = draw_workload(self.scenario, self.streams, capacity)
        self.balancer_count = int(drawn_number(self.scenario.fleet.balancers))
        self.length_s = drawn_number(self.scenario.length_s)
        self.measure = Measurements(self.scenario, self.workload.demanded, 0, len(self.server_shapes))
        self.clients_by_request: dict[str, PlannedClient] = {}
        self.paths = NetworkPaths(_planned_path_faults(self.scenario))
        self.stream_relays: list[StreamRelay] = []
        self.balancers: list[BalancerProcess] = []
        self.store: CoordinationStore | None = None
        self.is_measuring = False
        self.started_s = 0.0

    # -- building --------------------------------------------------------------------------------------

    def build(self) -> None:
        """Creates every part but the processes. Sockets are bound and nothing is served yet."""
        self.engine = RealTimeEngine()
        self.history = History(lambda: self.engine.now)
        self.servers = self._build_servers()
        self._build_discovery()
        self._build_clients()
        options = self.scenario.together
        if options.store:
            from .coordination_store import CoordinationStore  # loads aiohttp, which runs without a store do not need

            self.store = CoordinationStore(options, self.folder, self.network, self.balancer_count, self.path_address)

    def _build_servers(self) -> list[ModelledServer]:
        scenario = self.scenario
        noise, work = self.streams.normals("report noise"), self.streams.exponentials("set-up work")
        setups = [(drawn_number(kind.setup_ms) * 1000, kind.setup_spread == "exp") for kind in scenario.classes]

        def setup_work_us(client: PlannedClient) -> float:
            mean_us, is_exponential = setups[client.class_index]
            return mean_us * work() if is_exponential else mean_us

        environment = ServerEnvironment(
            scenario,
            self.engine,
            self.history,
            server_parameters(scenario),
            self.clients_by_request,
            noise,
            setup_work_us,
            self._earn,
            self.measure.record_tenant_served,
        )
        return [
            ModelledServer(
                number, shape, {balancer: self.network.next() for balancer in range(self.balancer_count)}, environment
            )
            for number, shape in enumerate(self.server_shapes)
        ]

    def _build_discovery(self) -> None:
        rig = self.scenario.rig
        paths = {
            (balancer, server.number): self.path_address(
                balancer_party(balancer), server.party, server.address(balancer)
            )
            for balancer in range(self.balancer_count)
            for server in self.servers
        }
        self.directory = EndpointDirectory(
            ListedServer(
                server.name,
                server.address(0),
                server.zone,
                kind=server.model.shape.kind,
                paths={balancer: paths[balancer, server.number] for balancer in range(self.balancer_count)},
            )
            for server in self.servers
        )
        self.call_queue = CallQueue(drawn_number(rig.call_ms) / 1000, drawn_number(rig.line_s))
        observer = _HistoryObserver(self.history, self.servers)
        self.agents = [
            DiscoveryAgent(balancer, self.network.next(), self.directory, observer, self.call_queue)
            for balancer in range(self.balancer_count)
        ]

    def _build_clients(self) -> None:
        scenario = self.scenario
        has_gossip_faults = any(fault.source[:4] == fault.target[:4] for fault in self.paths.planned)
        is_relayed = has_gossip_faults or bool(scenario.together.store) or self.balancer_count <= MAX_RELAYED_BALANCERS
        self.datagram_relays = DatagramRelays(self.paths, self.network, self.balancer_count, self.seed, is_relayed)
        entrances = [
            self.path_address(CLIENTS, balancer_party(number), self.network.balancer(number))
            for number in range(self.balancer_count)
        ]
        notice_s, interval_s = drawn_number(scenario.front.notice_s), drawn_number(scenario.rig.admit_s)
        self.frontend = Frontend(entrances, notice_s, interval_s, self.history, self.seed)
        environment = ClientEnvironment(
            scenario,
            self.frontend,
            entrances,
            ClientDelays(scenario.clients, self.streams),
            self.engine,
            self.history,
            self.clients_by_request,
            self.measure.counts,
            self._note_wait,
        )
        self.clients = ScenarioClients(self.workload.clients, environment)

    def _earn(self, at_us: int, kind: int, worth: float) -> None:
        if self.is_measuring:
            self.measure.record_served(at_us - self.engine.measured_from_us, kind, worth)

    def _note_wait(self, kind: int, waited_us: int) -> None:
        self.measure.setup_waits[kind].record_value(waited_us)

    # -- discovery -------------------------------------------------------------------------------------

    def list_server(self, number: int, status: EndpointStatus) -> None:
        """Changes the status of a server in the endpoint list."""
        self.directory.set_status([self.servers[number].name], status)
        self.history.note(DISCOVERY, ListChanged(number, status, self.directory.version))

    def restart_server(self, number: int) -> None:
        """Starts a server again; its row has the new start from the next time that it is sent."""
        server = self.servers[number]
        server.restart()
        self.directory.servers[server.name].since_ms = server.started_ms

    # -- paths and configurations ----------------------------------------------------------------------

    def path_address(self, source: str, target: str, address: Address) -> Address:
        """Returns the address that `source` gets for `target`: its own, or a relay's where a fault is planned."""
        if not self.paths.needs_relay(source, target):
            return address
        relay = StreamRelay(self.paths, source, target, self.network.next(), address)
        self.stream_relays.append(relay)
        return relay.address

    def _balancer_config(self, number: int) -> dict[str, Any]:
        scenario = self.scenario
        settings = make_settings(scenario, number, scenario.fleet.zones[0], self.workload.quotas)
        discovery = self.path_address(balancer_party(number), DISCOVERY, self.agents[number].address)
        config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": format_address(self.network.balancer(number)),
            "discovery": format_address(discovery),
            "seed": f"{self.seed * 1000 + number:x}",
            "limits": {"sockets": scenario.rig.sockets},
            "settings": encode_settings(settings),
            "peer_listen": format_address(self.network.peer(number)),
            "peers": self.datagram_relays.peers_of(number),
        }
        if self.store:
            config |= {
                "fleet": str(self.store.write_fleet_file(number)),
                "admin": format_address(self.network.admin(number)),
            }
        if scenario.rig.known:
            config["known"] = self.directory.answer(number, None)
        return config

    # -- running ---------------------------------------------------------------------------------------

    async def open_stand_ins(self) -> None:
        """Serves everything that balancers connect to."""
        for server in self.servers:
            server.start()
        for agent in self.agents:
            agent.open()
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
        self.clients.resume_connections(self.balancer_count, [server.name for server in self.servers])
        await wait_until(lambda: not self.clients.resuming, RESUME_TIMEOUT_S)

    async def _wait_until_ready(self) -> None:
        ready = self.frontend.ready
        if await wait_until(lambda: len(ready) == self.balancer_count, drawn_number(self.scenario.rig.ready_s)):
            return
        missing = min(set(range(self.balancer_count)) - ready)
        raise BalancersNotReadyError(
            f"balancer {missing} did not answer PING in time; its log: {self.balancers[missing].log_path}"
        )

    def close(self) -> None:
        """Ends all processes and sockets. Clients end first, so that none sees the end of its balancer."""
        self.engine.is_closed = True
        self.clients.close()
        self.frontend.close()
        for balancer in self.balancers:
            balancer.end()
        for relay in self.stream_relays:
            relay.close()
        for agent in self.agents:
            agent.close()
        self.call_queue.close()
        self.datagram_relays.close()
        for server in self.servers:
            server.close()


def _planned_path_faults(scenario: Scenario) -> tuple[PathFault, ...]:
    planned = tuple(fault for fault in scenario.faults if isinstance(fault, PathFault))
    if any(isinstance(fault, RandomFaults) and RandomFaultKind.STORE_CUT in fault.kinds for fault in scenario.faults):
        # The affected balancer is drawn later, so each of them needs a relay to the store.
        planned += (PathFault(at_s=0.0, source="balancer:*", target=STORE, cut=True),)
    return planned


class _HistoryObserver:
    """Notes what discovery sends, and which start of a server each balancer knows of."""

    def __init__(self, history: History, servers: list[ModelledServer]) -> None:
        self._history = history
        self._servers = {server.name: server for server in servers}

    def note_call(self, balancer: int) -> None:
        self._history.note(DISCOVERY, DiscoveryCalled(balancer))

    def note_listed(self, balancer: int, listed: ListedServer) -> None:
        server = self._servers[listed.name]
        if listed.status is not EndpointStatus.DELETED:
            server.listed_start_ms[balancer] = listed.since_ms
        self._history.note(DISCOVERY, ServerListed(balancer, server.party, listed.status))
