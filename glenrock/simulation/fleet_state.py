"""The state of one run: the fleet, its links, its workload and the measurements."""

from __future__ import annotations

from .engine import SECOND_US, Engine, HeapEngine
from .invariants import InvariantChecker
from .measure import FaultPeriod, Measurements
from .model import server_shapes
from .model import workload as workloads
from .model.balancer import BalancerProcess
from .model.client_delays import ClientDelays
from .model.feed import EndpointFeed
from .model.front import FrontEnd
from .model.links import Links
from .model.requests import Attempt, Client
from .model.server import ServerModel
from .model.store import Store
from .shared_health_checks import SharedHealthChecks
from .spec_ranges import draw_ranges
from .spec_tables import Experiment
from .spec_types import drawn_number
from .streams import Streams


class FleetState:
    """State that all parts of a simulation share.

    Attributes:
        experiment: the experiment, its ranges replaced by numbers drawn for the seed.
        balancers, front_end, feed: assigned by `FleetSimulation`, because they call back into it.
        error_chances: probability of an ERR answer, by name of the servers that have one.
        reported_slow: server name and balancer index, where slow messages were reported to the balancer.
        shared_health_checks: None unless the experiment divides health checks among the balancers.
        faults: the scheduled faults, in the order of the experiment file.
        connected_clients: clients with an open connection, in the order of their connections.
        measurement_ended: whether the measured period has ended.
        failure: the error of the policy that ended the run early, or an empty string.
    """

    balancers: list[BalancerProcess]
    front_end: FrontEnd
    feed: EndpointFeed

    def __init__(self, experiment: Experiment, seed: int, policy: str, engine: Engine | None) -> None:
        self.experiment = experiment = draw_ranges(experiment, seed)
        self.seed, self.policy = seed, policy
        self.streams = streams = Streams(seed)
        self.start_us = round(experiment.clock_start_s * SECOND_US)
        self.engine = engine or HeapEngine(self.start_us)
        self.length_us = round(drawn_number(experiment.length_s) * SECOND_US)
        self.zones = list(experiment.fleet.zones)
        self.server_shapes = server_shapes.draw_server_shapes(experiment, streams)
        capacity = sum(shape.cores * shape.speed for shape in self.server_shapes) * SECOND_US
        self.workload = workloads.draw_workload(experiment, streams, capacity)
        self.invariants = InvariantChecker(self.start_us)
        self.measure = Measurements(experiment, self.workload.demanded, self.start_us, len(self.server_shapes))
        self.links = Links(experiment.network, streams)
        self.client_delays = ClientDelays(experiment.clients, streams)
        self.store = Store(
            drawn_number(experiment.store.headroom) * self.workload.clients_per_s,
            drawn_number(experiment.store.call_ms) * 1000,
        )
        self.server_parameters = server_shapes.server_parameters(experiment)
        self._read_limits(experiment)
        self._open_streams(streams)
        self.servers: dict[str, ServerModel[Attempt]] = {}
        self.error_chances: dict[str, float] = {}
        self.reported_slow: set[tuple[str, int]] = set()
        self.shared_health_checks: SharedHealthChecks | None = None
        self.faults: list[FaultPeriod] = []
        self.connected_clients: dict[Client, None] = {}
        self.measurement_ended = False
        self.failure = ""

    def _read_limits(self, experiment: Experiment) -> None:
        self.answer_grace_us = round(experiment.rules.answer_grace_ms * 1000)
        self.drain_grace_us = round(experiment.rules.drain_grace_ms * 1000)
        self.max_attempts = experiment.platform.max_attempts
        self.connect_timeout_us = round(experiment.platform.dial_timeout_ms * 1000)
        self.silence_timeout_us = round(drawn_number(experiment.network.silence_s) * SECOND_US)
        self.request_timeouts_us = [round(drawn_number(c.give_up_ms) * 1000) for c in experiment.classes]
        self.setup_work_us = [drawn_number(c.setup_ms) * 1000 for c in experiment.classes]

    def _open_streams(self, streams: Streams) -> None:
        self.draw_setup_work = streams.exponentials("set-up work")
        self.draw_report_noise = streams.normals("report noise")
        self.draw_error = streams.uniforms("errors")
