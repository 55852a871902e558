"""The clients of the workload: their requests, their load changes, and the answers that they receive."""

from __future__ import annotations

from glenrock.routing import interface
from glenrock.routing.interface import AttemptOutcome

from .connection_accounting import ConnectionAccounting
from .model.balancer import BalancerProcess
from .model.requests import Client, ClientRequest
from .spec_types import drawn_count

LATE_REJECTION_FRACTION = 0.5  # of a request's timeout; later rejections without any attempt count as `held_back`


class ClientRequests(ConnectionAccounting):
    """The part of a simulation that simulates the clients."""

    def schedule_workload(self, client: Client) -> None:
        """Schedules the first load change of a client, and the time at which it is done."""
        planned = client.planned
        if planned.load_changes:
            self.engine.at(self.start_us + planned.load_changes[0][0], self._change_load, client)
        if planned.end_us > planned.arrival_us:
            self.engine.at(self.start_us + planned.end_us, self._finish_client, client)

    def load_of(self, client: Client) -> float:
        """Returns the current load of a client's connection, in microseconds of work per second."""
        return client.planned.load_changes[max(0, client.next_change_index - 1)][1]

    def _change_load(self, client: Client) -> None:
        if client.is_done:
            return
        client.next_change_index += 1
        changes = client.planned.load_changes
        if client.next_change_index < len(changes):
            self.engine.at(self.start_us + changes[client.next_change_index][0], self._change_load, client)
        connection = client.connection
        if connection:
            load = changes[client.next_change_index - 1][1]
            server, request = connection.attempt.server, connection.attempt.request
            server.change_load(self.engine.now, connection, load)
            if self.experiment.reports.load_told and not connection.is_unreachable:
                request.balancer.post(interface.ConnectionFeedback(request.id, server.name, load=load))

    def _finish_client(self, client: Client) -> None:
        client.is_done = True
        connection, request = client.connection, client.request
        if connection:
            self.close_connection(connection)
            attempt = connection.attempt
            attempt.request.balancer.report_attempt_ended(attempt, AttemptOutcome.SERVED)
        elif request:
            client.request = None
            self._send_disconnect(request)

    def send_request(self, client: Client) -> None:
        """Sends a new request of a client through the front end to a balancer."""
        now, planned = self.engine.now, client.planned
        client.request_count += 1
        self.measure.counts["tries"] += 1
        balancer = self.front_end.select_balancer(planned.zone)
        deadline_us = now + self.request_timeouts_us[planned.class_index]
        due_us = now + self.links.client_one_way_us()
        self.engine.at(due_us, self._request_arrives, client, balancer, deadline_us, client.request_count)

    def _request_arrives(self, client: Client, balancer: BalancerProcess | None, deadline_us: int, number: int) -> None:
        if client.is_done or client.request_count != number:
            return
        if balancer is None or not balancer.is_up:
            self.measure.counts["unreachable"] += 1
            self._schedule_retry(client, retry_after_us=None)
            return
        request = ClientRequest(f"{client.planned.number}.{number}", client, balancer, self.engine.now, deadline_us)
        client.request = request
        self.invariants.record_event(self.engine.now, f"arrives at balancer {balancer.index}", request.id, "")
        balancer.receive_request(request, self.request_event(request))
        disconnect_delay_us = self.client_delays.draw_disconnect_delay(
            self.request_timeouts_us[client.planned.class_index]
        )
        if disconnect_delay_us is not None:
            self.engine.at(self.engine.now + disconnect_delay_us, self._disconnect_early, request)

    def request_event(self, request: ClientRequest) -> interface.Request:
        """Returns the event that a balancer's policy receives for a request."""
        planned = request.client.planned
        return interface.Request(
            request.id,
            self.experiment.classes[planned.class_index].name,
            request.deadline_us,
            planned.number,
            planned.group,
            self.experiment.tenants[planned.tenant].name,
            round(planned.base_load) if self.experiment.traffic.hints else 0,
            request.client.has_connected,
        )

    def _disconnect_early(self, request: ClientRequest) -> None:
        client = request.client
        if client.request is request and not client.connection and not request.is_over:
            client.request = None
            self.measure.counts["left"] += 1
            self._send_disconnect(request)
            self._schedule_retry(client, retry_after_us=None)

    def _send_disconnect(self, request: ClientRequest) -> None:
        due_us = self.engine.now + self.links.client_one_way_us()
        self.engine.at(due_us, self._disconnect_arrives, request, request.balancer.incarnation)

    def _disconnect_arrives(self, request: ClientRequest, incarnation: int) -> None:
        if request.balancer.incarnation != incarnation:
            return
        if request.established_attempt:  # the connection was set up while the disconnect was in flight
            self.close_unwanted(request)
        elif request.outcome is None:
            request.balancer.receive_disconnect(request)

    def close_unwanted(self, request: ClientRequest) -> None:
        """Closes a connection that was set up for a client that needs no connection any more."""
        attempt = request.established_attempt
        if attempt and attempt.connection:
            self.close_connection(attempt.connection)
            request.balancer.report_attempt_ended(attempt, AttemptOutcome.SERVED)

    def _schedule_retry(self, client: Client, retry_after_us: int | None) -> None:
        """Schedules a client's next request, after a failure if `retry_after_us` is None, else after a rejection."""
        client.failures += 1
        client.request = None
        is_setup_only = client.planned.end_us <= client.planned.arrival_us
        if is_setup_only and client.failures > drawn_count(self.experiment.clients.retries):
            client.is_done = True
        if retry_after_us is None:
            delay_us = self.client_delays.delay_after_failure(client)
        else:
            delay_us = self.client_delays.delay_after_rejection(client, retry_after_us)
        self.engine.at(self.engine.now + max(1, delay_us), self._retry, client, client.request_count)

    def _retry(self, client: Client, number: int) -> None:
        is_free = not client.request and not client.connection
        if not client.is_done and client.request_count == number and is_free:
            self.send_request(client)

    def reconnect_after(self, client: Client, delay_us: int) -> None:
        """Schedules the next request of a client whose connection was closed."""
        client.request = client.connection = None
        client.has_connected, client.waiting_since_us = True, self.engine.now
        if not client.is_done:
            self.engine.at(self.engine.now + max(1, delay_us), self._retry, client, client.request_count)

    # -- answers of balancers ------------------------------------------------------------------------

    def _record_answer(self, request: ClientRequest, answer: str) -> bool:
        """Counts an answer. Returns whether the client still waits for it."""
        self.measure.counts[answer] += 1
        self.invariants.record_event(self.engine.now, answer, request.id, "")
        return request.client.request is request

    def deliver_rejection(self, request: ClientRequest, retry_after_us: int) -> None:
        """Delivers a rejection; the client retries later."""
        took_us = self.engine.now - request.arrived_us
        self.measure.rejections.record_value(max(1, took_us))
        allowed_us = request.deadline_us - request.arrived_us
        if not request.attempts and took_us > LATE_REJECTION_FRACTION * allowed_us:
            self.measure.counts["held_back"] = self.measure.counts.get("held_back", 0) + 1
        if self._record_answer(request, "refused"):
            self._schedule_retry_after_answer(request, retry_after_us)

    def deliver_failure(self, request: ClientRequest) -> None:
        """Delivers a failure; the client retries later."""
        if self._record_answer(request, "failed"):
            self._schedule_retry_after_answer(request, None)

    def report_overdue(self, request: ClientRequest) -> None:
        """Schedules a retry of a client whose request had no answer in time."""
        if self._record_answer(request, "overdue"):
            request.client.request = None
            self._retry_if_free(request.client, request.client.request_count, None)

    def report_killed(self, request: ClientRequest) -> None:
        """Schedules a retry of a client whose balancer's process ended before the answer."""
        self._schedule_retry_after_answer(request, None)

    def _schedule_retry_after_answer(self, request: ClientRequest, retry_after_us: int | None) -> None:
        client = request.client
        client.request = None
        due_us = self.engine.now + self.links.client_one_way_us()
        self.engine.at(due_us, self._retry_if_free, client, client.request_count, retry_after_us)

    def _retry_if_free(self, client: Client, number: int, retry_after_us: int | None) -> None:
        if not client.is_done and client.request_count == number and not client.request:
            self._schedule_retry(client, retry_after_us)

    def migrate(self, request: ClientRequest) -> None:
        """Closes an open connection with a migration notice; its client reconnects."""
        attempt = request.established_attempt
        connection = attempt.connection if attempt else None
        if attempt and connection and attempt.is_active:
            self.measure.counts["moved"] += 1
            self.invariants.record_event(self.engine.now, "client migrated", request.id, attempt.server.name)
            self.close_connection(connection)
            request.balancer.report_attempt_ended(attempt, AttemptOutcome.CANCELLED)
            self.reconnect_after(connection.attempt.request.client, self.client_delays.delay_after_migration())

    def close_without_notice(self, request: ClientRequest) -> None:
        """Closes an open connection without a migration notice; its client reconnects as after a broken connection."""
        attempt = request.established_attempt
        if attempt and attempt.connection:
            connection = attempt.connection
            self.close_connection(connection)
            request.balancer.report_attempt_ended(attempt, AttemptOutcome.CANCELLED)
            self.reconnect_after(connection.attempt.request.client, self.client_delays.delay_after_break())

    def record_violation(self, rule: str, text: str, request: ClientRequest | None, server: str) -> None:
        """Records a violation of an invariant by the balancer of a request."""
        index, id_ = (request.balancer.index, request.id) if request else (-1, "")
        self.invariants.record_violation(self.engine.now, rule, text, index, id_, server)
