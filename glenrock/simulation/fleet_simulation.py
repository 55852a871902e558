"""Runs one experiment under one seed and one policy, and returns its summary."""

from __future__ import annotations

import gc
import time
from bisect import bisect_right
from collections.abc import Callable
from typing import Any

import numpy as np

from glenrock.routing import interface

from . import faults, policies
from .balancer_settings import make_settings
from .engine import SECOND_US, Engine
from .measure import FaultPeriod, rounded
from .model import workload as workloads
from .model.balancer import BalancerProcess, Policy, PolicyFailedError
from .model.feed import EndpointFeed
from .model.front import FrontEnd
from .model.requests import Attempt, Client, ClientRequest, RequestOutcome
from .model.server import Connection, ServerModel
from .policies import module
from .policies.oracle import Oracle
from .process_control import ProcessControl
from .run_summary import summarize
from .shared_health_checks import SharedHealthChecks
from .spec_tables import Experiment
from .spec_types import drawn_count, drawn_number

SERVERS_PER_CELL = 6
OTHER_ZONE_WEIGHT = 0.3  # of a server in another zone, when placing the connections that are open at the start
SLOW_MESSAGE_DIVISOR = 3  # message times above the shortest objective divided by this are reported as slow
MAX_REPORTED_MESSAGE_US = 1e9
MAX_RECORDED_MESSAGE_US = 3e9


class FleetSimulation(ProcessControl):
    """One complete run. The base classes simulate clients, balancers, servers and links."""

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        policy: str = "glenrock",
        *,
        make_policy: Callable[[interface.Settings, int], Policy] | None = None,
        engine: Engine | None = None,
    ) -> None:
        super().__init__(experiment, seed, policy, engine)
        self._make_policy = make_policy or policies.policy_factory(policy)
        for number, shape in enumerate(self.server_shapes):
            name = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7000"
            server = self.servers[name] = ServerModel(
                name,
                number,
                shape,
                self.server_parameters,
                self.receive_setup_answer,
                self.engine,
                self.measure.record_served,
                number // SERVERS_PER_CELL,
            )
            server.computed_until_us = self.start_us
        self._build_balancers()
        self.front_end = FrontEnd(self.experiment.front, self.balancers, len(self.zones), self.engine, self.streams)
        self.feed = EndpointFeed(self.experiment.discovery, self.balancers, self.engine, self.streams)
        if self.experiment.platform.probe_shards:
            slow_start_s = self.experiment.rules.cold_s
            self.shared_health_checks = SharedHealthChecks(
                self.engine, self.balancers, slow_start_s, self.send_own_health_check, self.send_gossip
            )

    def _build_balancers(self) -> None:
        count = drawn_count(self.experiment.fleet.balancers)
        generator = self.streams.generator("balancer seeds")
        seeds = generator.integers(1, 1 << 62, size=count).tolist()
        tick_us = max(1, round(self.experiment.platform.tick_ms * 1000))

        def build_policy(index: int, incarnation: int) -> Policy:
            zone = self.zones[index % len(self.zones)]
            settings = make_settings(self.experiment, index, zone, self.workload.quotas)
            policy = self._make_policy(settings, seeds[index] + incarnation)
            if isinstance(policy, Oracle):
                policy.observe(self, self.balancers[index])
            return policy

        self.balancers = [
            BalancerProcess(index, index % len(self.zones), self.engine, self, tick_us, build_policy)
            for index in range(count)
        ]

    # -- the whole run -------------------------------------------------------------------------------

    def run(self) -> dict[str, Any]:
        """Runs the simulation and returns its summary. If the policy raises, the run ends, and the summary says why."""
        started_wall_s, started_cpu_s = time.perf_counter(), time.process_time()
        # The objects of a run stay alive until its end, so garbage collection would cost time and free nothing.
        gc_was_enabled = gc.isenabled()
        gc.disable()
        try:
            with module.override_constants(self.experiment.constants):
                self.prepare()
                drain_us = round(self.experiment.drain_s * SECOND_US)
                self.engine.run(self.start_us + self.length_us + drain_us)
        except PolicyFailedError as error:
            self.failure = str(error)
            self._end_measuring()
        finally:
            if gc_was_enabled:
                gc.enable()
        for client in self.connected_clients:
            if client.connection:
                self.count_open_time(client.connection)
        return summarize(self, time.perf_counter() - started_wall_s, time.process_time() - started_cpu_s)

    def prepare(self) -> None:
        """Starts all processes, opens the connections of earlier clients, and schedules the rest of the run."""
        self.feed.start(
            [
                interface.Endpoint(
                    server.name, interface.EndpointState.READY, self.zones[server.shape.zone], server.cell
                )
                for server in self.servers.values()
            ]
        )
        endpoints = tuple(self.feed.endpoints.values())
        for balancer in self.balancers:
            balancer.start(interface.EndpointList(interface.EndpointListKind.CACHED, endpoints))
            self.feed.balancer_started(balancer)
        self._planned_clients = iter(self.workload.clients)
        self._schedule_arrival(self._place_open_connections())
        self._schedule_faults()
        if self.shared_health_checks:
            self.shared_health_checks.start()
        self.engine.at(self.start_us, self._sample_second, 0)
        self.engine.at(self.start_us + self.length_us, self._end_measuring)

    def _schedule_faults(self) -> None:
        for number, fault in enumerate(self.experiment.faults):
            at_s = drawn_number(fault.at_s)
            end_s = min(drawn_number(self.experiment.length_s), at_s + faults.duration_s(fault))
            kind = type(fault).__struct_config__.tag
            self.faults.append(FaultPeriod(str(kind), rounded(at_s), rounded(end_s)))
            due_us = self.start_us + round(at_s * SECOND_US)
            inject = faults.INJECTORS[type(fault)]
            self.engine.at(due_us, inject, self, fault, self.streams.generator(f"fault {number}"))

    def _place_open_connections(self) -> workloads.PlannedClient | None:
        """Opens the connections of clients that arrived before the run, in the same way for every policy.

        Returns:
            The first planned client that arrives during the run, or None.
        """
        draw_uniform = self.streams.uniforms("standing")
        servers = list(self.servers.values())
        cumulative_weights = [self._cumulative_weights(servers, zone) for zone in range(len(self.zones))]
        for planned in self._planned_clients:
            if planned.arrival_us >= 0:
                return planned
            self.measure.counts["clients"] += 1
            weights = cumulative_weights[planned.zone]
            chosen = min(len(servers) - 1, bisect_right(weights, draw_uniform() * weights[-1]))
            balancer = self.front_end.select_balancer(planned.zone)
            if balancer:
                self._place_open_connection(planned, balancer, servers[chosen])
        return None

    @staticmethod
    def _cumulative_weights(servers: list[ServerModel[Attempt]], zone: int) -> list[float]:
        weights = [
            server.shape.cores * server.shape.speed * (1.0 if server.shape.zone == zone else OTHER_ZONE_WEIGHT)
            for server in servers
        ]
        sums: list[float] = np.cumsum(weights).tolist()
        return sums

    def _place_open_connection(
        self, planned: workloads.PlannedClient, balancer: BalancerProcess, server: ServerModel[Attempt]
    ) -> None:
        now = self.engine.now
        client = Client(planned, request_count=1, has_connected=True)
        request = client.request = ClientRequest(f"{planned.number}.1", client, balancer, now, now)
        request.is_answered, request.outcome = True, RequestOutcome.ESTABLISHED
        attempt = Attempt(request, 0, server, now, is_established=True)
        request.attempts.append(attempt)
        request.established_attempt = attempt
        balancer.requests[request.id] = request
        balancer.post(interface.OpenConnection(self.request_event(request), server.name))
        server.pending_attempts[attempt] = True
        self.schedule_workload(client)
        self.open_connection(attempt)

    def _schedule_arrival(self, planned: workloads.PlannedClient | None) -> None:
        """Schedules the arrival of a client. Each arrival schedules the next, so the event heap holds one at a time."""
        if planned:
            self.engine.at(self.start_us + planned.arrival_us, self._arrive, planned)

    def _arrive(self, planned: workloads.PlannedClient) -> None:
        self._schedule_arrival(next(self._planned_clients, None))
        self.measure.counts["clients"] += 1
        client = Client(planned, waiting_since_us=self.engine.now)
        self.schedule_workload(client)
        self.send_request(client)

    # -- each second ---------------------------------------------------------------------------------

    def _sample_second(self, second: int) -> None:
        """Updates all servers, closes the connections that they shed, and records the time series of one second."""
        load = 0.0
        for server in self.servers.values():
            for connection in server.bound_backlog(self.engine.now):
                self.measure.counts["shed"] += 1
                self.break_connection(connection, interface.AttemptOutcome.BROKEN)
            load += self._sample_server(server, second)
        if second < self.measure.seconds:
            self._record_series(second, load)
            if second + 1 < self.measure.seconds:
                self.engine.at(self.engine.now + SECOND_US, self._sample_second, second + 1)

    def _sample_server(self, server: ServerModel[Attempt], second: int) -> float:
        """Records the load of a server. Returns it, in microseconds of work per second."""
        measure = self.measure
        is_recorded = second < measure.seconds
        if not server.is_up:
            if is_recorded:
                measure.relative_loads[server.number, second] = -1
            return 0.0
        if is_recorded:
            capacity = server.capacity(self.engine.now)
            measure.relative_loads[server.number, second] = server.demand / capacity if capacity > 0 else 0.0
        if server.open_connections:
            message_us = int(min(MAX_RECORDED_MESSAGE_US, max(1, server.mean_message_us)))
            measure.messages.record_value(message_us, len(server.open_connections))
            self._report_slow_messages(server)
        return server.demand

    def _record_series(self, second: int, load: float) -> None:
        measure, capacity = self.measure, self.workload.capacity
        gauges = [
            gauge for balancer in self.balancers if balancer.is_up and (gauge := module.read_gauges(balancer.policy))
        ]
        caps = [cap for cap, _ in gauges if cap != float("inf")]
        measure.record_sample(
            second,
            load=load / capacity,
            standing=float(len(self.connected_clients)),
            cap=sum(caps) / len(caps) / capacity if caps else float("nan"),
            line=sum(waiting for _, waiting in gauges),
            refused=float(measure.counts["refused"]),
            attempts=float(measure.counts["attempts"]),
            broken=float(measure.counts["broken"]),
            up=float(sum(server.is_up for server in self.servers.values())),
            balancers=float(sum(balancer.is_up for balancer in self.balancers)),
        )

    def _report_slow_messages(self, server: ServerModel[Attempt]) -> None:
        """Reports slow messages to each balancer on one connection, and reports once when they are fast again."""
        if not self.experiment.reports.delay_told:
            return
        is_slow = server.mean_message_us > self.server_parameters.shortest_objective_us / SLOW_MESSAGE_DIVISOR
        if not is_slow and not any((server.name, balancer.index) in self.reported_slow for balancer in self.balancers):
            return
        by_balancer: dict[int, Connection[Attempt]] = {}
        for connection in server.open_connections.values():
            if not connection.is_unreachable:
                by_balancer.setdefault(connection.balancer_index, connection)
        for index, connection in by_balancer.items():
            key = (server.name, index)
            if is_slow or key in self.reported_slow:
                (self.reported_slow.add if is_slow else self.reported_slow.discard)(key)
                request = connection.attempt.request
                message_us = min(server.mean_message_us, MAX_REPORTED_MESSAGE_US)
                request.balancer.post(interface.ConnectionFeedback(request.id, server.name, message_us=message_us))

    def _end_measuring(self) -> None:
        """Ends the measured period; what is served after it does not count."""
        now = self.engine.now
        for server in self.servers.values():
            server.advance(now)
            for connection in server.open_connections.values():
                if not connection.is_unreachable:
                    connection.uncredited_s += (
                        server.served_s_by_class[connection.class_index] - connection.served_s_at_credit
                    )
                    connection.served_s_at_credit = server.served_s_by_class[connection.class_index]
                self.credit_tenant(connection)
                connection.priority_weight = 0.0
            server.weight_by_class = [0.0] * len(server.weight_by_class)
        self.measure.record_tenant_demand(self.workload.clients, self.length_us)
        self.measurement_ended = True
