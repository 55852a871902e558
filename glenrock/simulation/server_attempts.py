"""Attempts at servers, open connections, health checks and gossip, and the effects on them when a server stops."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from glenrock.routing import interface
from glenrock.routing.interface import AttemptOutcome, EndpointState

from .client_requests import ClientRequests
from .engine import SECOND_US
from .measure import ratio
from .model.balancer import BalancerProcess
from .model.requests import Attempt
from .model.server import Connection, ServerModel, SetupAnswer
from .spec_types import drawn_number

CONNECT_ONE_WAY_TRIPS = 3  # until the first line has arrived: two for the TCP handshake, and one for the line
INFORMED_FRACTION = 2 / 3  # of the slow-start load; an overload is a violation if informed balancers sent this much


@dataclass(slots=True)
class _HealthCheck:
    """A health check in flight, sent by one incarnation of a balancer."""

    balancer: BalancerProcess
    incarnation: int
    server: ServerModel[Attempt]
    sent_us: int


class ServerAttempts(ClientRequests):
    """The part of a simulation between balancers and servers, and between balancers."""

    def _path_is_open(self, attempt: Attempt) -> bool:
        return self.links.is_open(attempt.request.balancer.zone, attempt.server.shape.zone)

    def _draw_one_way_us(self, attempt: Attempt) -> int:
        return self.links.one_way_us(attempt.request.balancer.zone, attempt.server.shape.zone)

    def start_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        """Sends an attempt, which times out after `timeout_us` (0: no such limit) or at the request's deadline."""
        now, request, server = self.engine.now, attempt.request, attempt.server
        self.measure.counts["attempts"] += 1
        self.invariants.record_event(now, f"attempt {attempt.number} sent", request.id, server.name)
        limit_us = request.deadline_us - now
        limit_us = max(0, min(limit_us, timeout_us)) if timeout_us else limit_us
        if not limit_us:
            self._time_out(attempt)
            return
        self.engine.at(now + limit_us, self._time_out, attempt)
        if not self._path_is_open(attempt):
            self.engine.at(now + self.connect_timeout_us, self._end_attempt, attempt, AttemptOutcome.NO_CONNECTION)
        else:
            trips = CONNECT_ONE_WAY_TRIPS if server.is_up else 1
            self.engine.at(now + trips * self._draw_one_way_us(attempt), self._attempt_arrives, attempt)

    def _attempt_arrives(self, attempt: Attempt) -> None:
        request, server = attempt.request, attempt.server
        if not attempt.is_active or not self._path_is_open(attempt):
            return
        planned = request.client.planned
        work_us = self.setup_work_us[planned.class_index]
        if self.experiment.classes[planned.class_index].setup_spread == "exp":
            work_us *= self.draw_setup_work()
        endpoint = request.balancer.endpoints.get(server.name)
        is_informed = endpoint is not None and endpoint.started_us >= server.started_us
        server.receive_attempt(self.engine.now, attempt, work_us, planned.base_load, is_informed)
        if server.was_overloaded_while_warming_up and server.is_up:
            self._stop_overloaded(server)

    def receive_setup_answer(self, attempt: Attempt, answer: SetupAnswer) -> None:
        """Sends a server's answer to an attempt back to its balancer."""
        one_way_us = self._draw_one_way_us(attempt)
        name = attempt.server.name
        is_established = answer == SetupAnswer.ESTABLISHED
        if is_established and name in self.error_chances and self.draw_error() < self.error_chances[name]:
            answer, is_established = SetupAnswer.ERROR, False
            self.abandon_attempt(attempt)  # a server that answers ERR drops the attempt
        sent_us = self.store.call(self.engine.now) if is_established else self.engine.now
        self.engine.at(sent_us + one_way_us, self._answer_arrives, attempt, answer)

    def _answer_arrives(self, attempt: Attempt, answer: SetupAnswer) -> None:
        if not attempt.is_active or not self._path_is_open(attempt):
            return
        if answer == SetupAnswer.ESTABLISHED:
            self._establish(attempt)
        else:
            self._end_attempt(attempt, AttemptOutcome(answer.value))

    def _establish(self, attempt: Attempt) -> None:
        request = attempt.request
        if request.is_over or request.is_answered:
            self.abandon_attempt(attempt)
            self._end_attempt(attempt, AttemptOutcome.CANCELLED)
            return
        self.invariants.record_event(self.engine.now, "connection established", request.id, attempt.server.name)
        self.measure.counts["set_up"] += 1
        request.balancer.report_established(attempt)
        self.open_connection(attempt)
        client = request.client
        if client.request is not request:  # the client disconnected before the answer
            self.close_unwanted(request)
        elif client.planned.end_us <= client.planned.arrival_us:
            client.is_done = True
            self.close_unwanted(request)

    def open_connection(self, attempt: Attempt) -> None:
        """Opens the connection of an established attempt at its server."""
        request, client, now = attempt.request, attempt.request.client, self.engine.now
        planned = client.planned
        is_wanted = client.request is request
        priority_weight = (
            0.0
            if self.measurement_ended
            else float(self.experiment.classes[planned.class_index].worth) * planned.quota_factor
        )
        connection = Connection(attempt, request.balancer.index, planned.class_index, planned.group, priority_weight)
        attempt.connection = connection
        if client.waiting_since_us >= 0 and is_wanted:
            self.measure.setup_waits[planned.class_index].record_value(max(1, now - client.waiting_since_us))
        if not attempt.server.open(now, connection, self.load_of(client)):  # the server has restarted since
            attempt.connection = None
            request.balancer.report_attempt_ended(attempt, AttemptOutcome.BROKEN)
            if is_wanted:
                self.reconnect_after(client, self.client_delays.delay_after_break())
            return
        if request.balancer.zone != attempt.server.shape.zone:
            self.measure.counts["crossings"] += 1
        if is_wanted:
            client.connection, client.waiting_since_us, client.failures = connection, -1, 0
            self.connected_clients[client] = None
        connection.opened_us = now

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.is_active and not attempt.is_established:
            self.invariants.record_event(self.engine.now, "attempt timed out", attempt.request.id, attempt.server.name)
            self.abandon_attempt(attempt)
            attempt.request.balancer.report_attempt_ended(attempt, AttemptOutcome.TIMEOUT)

    def _end_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        if attempt.is_active and not attempt.is_established:
            text = f"attempt ended: {outcome}"
            self.invariants.record_event(self.engine.now, text, attempt.request.id, attempt.server.name)
            attempt.request.balancer.report_attempt_ended(attempt, outcome)

    def abandon_attempt(self, attempt: Attempt) -> None:
        """Closes the balancer's side of an attempt; the server notices it after a one-way time."""
        due_us = self.engine.now + self._draw_one_way_us(attempt)
        self.engine.at(due_us, self._abandon_at_server, attempt, attempt.server.incarnation)

    def _abandon_at_server(self, attempt: Attempt, incarnation: int) -> None:
        if attempt.server.incarnation == incarnation:
            attempt.server.abandon(self.engine.now, attempt)

    def break_connection(
        self,
        connection: Connection[Attempt],
        outcome: AttemptOutcome,
        delay_us: int | None = None,
        balancer_is_up: bool = True,
    ) -> None:
        """Ends a connection that its server, its link or its client has broken; the client reconnects.

        Args:
            connection: the open connection.
            outcome: outcome of the attempt that is reported to the balancer's policy.
            delay_us: time until the client reconnects; None to draw it.
            balancer_is_up: whether the balancer is running and its policy is told.
        """
        request, client = connection.attempt.request, connection.attempt.request.client
        is_wanted = client.connection is connection
        self.measure.counts["broken"] += 1
        self.invariants.record_event(self.engine.now, "connection broken", request.id, connection.attempt.server.name)
        self.close_connection(connection)
        if balancer_is_up:
            request.balancer.report_attempt_ended(connection.attempt, outcome)
        if is_wanted:
            self.reconnect_after(client, self.client_delays.delay_after_break() if delay_us is None else delay_us)

    def drop_client_side(self, connection: Connection[Attempt], delay_us: int) -> None:
        """Closes an open connection from the client's side; the client reconnects after `delay_us`."""
        if connection.attempt.connection is connection and connection.attempt.is_active:
            self.break_connection(connection, AttemptOutcome.SERVED, delay_us)

    # -- stopped servers ---------------------------------------------------------------------------

    def stop_server(self, server: ServerModel[Attempt]) -> None:
        """Ends the process of a server: its connections break, and service discovery detects it later."""
        if not server.is_up:
            return
        self.invariants.record_event(self.engine.now, "process ended", "", server.name)
        connections, pending_attempts = server.stop(self.engine.now)
        for attempt in pending_attempts:
            self.receive_setup_answer(attempt, SetupAnswer.BROKEN)
        for connection in connections:
            self._break_lost_connection(connection)
        notice_s = drawn_number(self.experiment.discovery.notice_s)
        self.feed.report_change(notice_s, server.name, EndpointState.GONE)

    def _break_lost_connection(self, connection: Connection[Attempt]) -> None:
        if self._path_is_open(connection.attempt):
            self.break_connection(connection, AttemptOutcome.BROKEN)
        else:
            self.engine.at(self.engine.now + self.silence_timeout_us, self._break_after_timeout, connection)

    def _break_after_timeout(self, connection: Connection[Attempt]) -> None:
        if connection.attempt.is_active and connection.attempt.request.client.connection is connection:
            self.break_connection(connection, AttemptOutcome.BROKEN)

    def _stop_overloaded(self, server: ServerModel[Attempt]) -> None:
        """Stops a server overloaded while warming up, a violation if informed balancers sent most of its load."""
        informed_load = sum(load for _, load, is_informed in server.slow_start_arrivals if is_informed)
        fraction = ratio(informed_load, server.slow_start_load)
        after_s = (self.engine.now - server.started_us) / SECOND_US
        text = (
            f"{server.name} was overloaded {after_s:.2f} s after its start; "
            f"informed balancers sent {fraction:.0%} of its load"
        )
        if fraction >= INFORMED_FRACTION:
            self.invariants.record_violation(self.engine.now, "cold", text, -1, "", server.name)
        else:
            self.invariants.record_event(self.engine.now, "overloaded by uninformed balancers", "", server.name)
        self.stop_server(server)

    # -- health checks, gossip, endpoint lists -------------------------------------------------------

    def send_health_check(self, balancer: BalancerProcess, server: str) -> None:
        """Sends a health check, or uses the result of a peer's if balancers share health checks."""
        shared = self.shared_health_checks
        if shared is None or not shared.answer_from_peer(balancer, server):
            self.send_own_health_check(balancer, server)

    def send_own_health_check(self, balancer: BalancerProcess, server: str) -> None:
        """Sends a health check of the balancer's own to a server."""
        self.measure.counts["probes"] += 1
        check = _HealthCheck(balancer, balancer.incarnation, self.servers[server], self.engine.now)
        zones = (balancer.zone, check.server.shape.zone)
        if self.links.is_open(*zones):
            self.engine.at(self.engine.now + self.links.one_way_us(*zones), self._health_check_arrives, check)
        else:
            self._schedule_health_check_result(self._health_check_limit_us(check), check, AttemptOutcome.TIMEOUT)

    def _health_check_limit_us(self, check: _HealthCheck) -> int:
        return check.sent_us + round(drawn_number(self.experiment.reports.probe_timeout_ms) * 1000)

    def _schedule_health_check_result(
        self, due_us: int, check: _HealthCheck, outcome: AttemptOutcome, report: dict[str, float] | None = None
    ) -> None:
        self.engine.at(due_us, self._health_check_ends, check, outcome, report or {})

    def _health_check_arrives(self, check: _HealthCheck) -> None:
        now, reports, server = self.engine.now, self.experiment.reports, check.server
        back_us = self.links.one_way_us(check.balancer.zone, server.shape.zone)
        if not server.is_up:
            self._schedule_health_check_result(now + back_us, check, AttemptOutcome.NO_CONNECTION)
            return
        took_us = server.do_health_check(now, drawn_number(reports.probe_ms) * 1000, reports.probe_waits)
        limit_us = self._health_check_limit_us(check)
        if now + took_us + back_us > limit_us:
            self._schedule_health_check_result(limit_us, check, AttemptOutcome.TIMEOUT)
            return
        sigma = drawn_number(reports.noise)
        figures = server.load_report_at(now - round(drawn_number(reports.delay_ms) * 1000))
        report: dict[str, float] = {
            name: figures[name] * exp(sigma * self.draw_report_noise()) for name in reports.names if name in figures
        }
        self._schedule_health_check_result(now + round(took_us) + back_us, check, AttemptOutcome.SERVED, report)

    def _health_check_ends(self, check: _HealthCheck, outcome: AttemptOutcome, report: dict[str, float]) -> None:
        balancer, server = check.balancer, check.server
        if balancer.incarnation != check.incarnation or not balancer.is_up:
            return
        if not self.links.is_open(balancer.zone, server.shape.zone):
            outcome, report = AttemptOutcome.TIMEOUT, {}
        if self.shared_health_checks and outcome == AttemptOutcome.SERVED:
            self.shared_health_checks.record_result(balancer, server.name, report)
        took_us = self.engine.now - check.sent_us
        balancer.post(interface.HealthCheckResult(server.name, outcome, took_us, report))

    def send_gossip(self, balancer: BalancerProcess, data: bytes) -> None:
        """Sends a datagram to all peers of a balancer."""
        for peer in self.balancers:
            if peer is not balancer:
                one_way_us = self.links.peer_one_way_us(balancer.zone, peer.zone)
                if one_way_us is not None:
                    self.measure.counts["peer_bytes"] += len(data)
                    self.engine.at(self.engine.now + one_way_us, self._gossip_arrives, peer, balancer.index, data)

    def _gossip_arrives(self, balancer: BalancerProcess, peer: int, data: bytes) -> None:
        if (
            not balancer.is_up
        ):  # only the receiver must be up: a datagram in flight arrives even if its sender has stopped
            return
        if self.shared_health_checks and self.shared_health_checks.receive(balancer, peer, data):
            return
        balancer.post(interface.GossipReceived(peer, data))

    def watch_endpoints(self, balancer: BalancerProcess) -> None:
        """Asks service discovery for the endpoint list and its changes."""
        self.feed.watch(balancer)
