"""The process of a balancer: passes events to its policy in batches, and performs the actions that the policy returns.

It plays the part that `glenrock.net` has in production, without sockets. All decisions are the policy's: which server
to select, and when to retry or reject.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from time import perf_counter_ns
from typing import Any, Protocol

from glenrock.routing import interface
from glenrock.routing.interface import AttemptOutcome, EndpointListKind, EndpointState

from ..engine import Engine
from .requests import Attempt, ClientRequest, RequestOutcome
from .server import ServerModel

MAX_GOSSIP_BYTES = 256


class Policy(Protocol):
    """Decides what a balancer does: the production routing, or another policy with the same events and actions."""

    def handle(self, now_us: int, events: list[interface.Event]) -> list[interface.Action]:
        """Returns the actions for a batch of events."""


class PolicyFailedError(Exception):
    """The policy raised an exception or returned an invalid action, which ends the run."""


class BalancerEnvironment(Protocol):
    """The services that a balancer's process calls.

    Attributes:
        answer_grace_us: time after a request's deadline in which its answer still counts as in time.
        drain_grace_us: time after the report of a draining or suspended server in which new attempts are allowed.
        max_attempts: attempts that a request may have.
    """

    servers: dict[str, ServerModel[Attempt]]
    answer_grace_us: int
    drain_grace_us: int
    max_attempts: int

    def start_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        """Sends an attempt to its server."""

    def abandon_attempt(self, attempt: Attempt) -> None:
        """Closes the balancer's side of an attempt, which tells the server to drop it."""

    def deliver_rejection(self, request: ClientRequest, retry_after_us: int) -> None:
        """Answers a client with a rejection."""

    def deliver_failure(self, request: ClientRequest) -> None:
        """Answers a client with a failure."""

    def migrate(self, request: ClientRequest) -> None:
        """Closes an open connection with a migration notice, so that its client reconnects."""

    def close_without_notice(self, request: ClientRequest) -> None:
        """Closes an open connection without a migration notice to its client."""

    def send_health_check(self, balancer: BalancerProcess, server: str) -> None:
        """Sends a health check to a server, which answers it with a load report."""

    def send_gossip(self, balancer: BalancerProcess, data: bytes) -> None:
        """Sends a gossip summary to all peers."""

    def watch_endpoints(self, balancer: BalancerProcess) -> None:
        """Asks service discovery for the endpoint list and its changes."""

    def report_overdue(self, request: ClientRequest) -> None:
        """Handles a request that had no final answer in time."""

    def record_violation(self, rule: str, text: str, request: ClientRequest | None, server: str) -> None:
        """Records a violation of an invariant."""


class BalancerProcess:
    """A balancer, across restarts of its process.

    Attributes:
        make_policy: builds the policy from the balancer's index and incarnation.
        incarnation: number of starts and kills; a callback of an earlier incarnation has no effect.
        last_delivery_us: when the latest endpoint list in flight arrives; later ones arrive no earlier.
        pending_events: events for the policy's next batch.
        requests: requests by identifier; one that is over stays until the policy has received its end.
        endpoints: the endpoint list as it was last delivered; survives a restart.
        known_servers: servers that an endpoint list has contained in this incarnation.
        draining_since_us: by server, when an endpoint list first reported it as draining or gone.
        suspended_since_us: by server, when an operator suspended it.
        is_draining: whether an operator drains the balancer, so that its clients migrate.
        batches: number of batches that the policy has handled.
        closed_requests: requests that are over and may still be in `requests`, in the order of their ends.
        cpu_ns: wall-clock time spent in the policy.
        outcomes: number of requests by outcome.
    """

    def __init__(
        self,
        index: int,
        zone: int,
        engine: Engine,
        environment: BalancerEnvironment,
        tick_us: int,
        make_policy: Callable[[int, int], Policy],
    ) -> None:
        self.index, self.zone, self.engine, self.environment = index, zone, engine, environment
        self.tick_us, self.make_policy = tick_us, make_policy
        self.is_up, self.incarnation, self.last_delivery_us = False, 0, 0
        self.policy: Policy | None = None
        self.pending_events: list[interface.Event] = []
        self.requests: dict[str, ClientRequest] = {}
        self.endpoints: dict[str, interface.Endpoint] = {}
        self.known_servers: set[str] = set()
        self.draining_since_us: dict[str, int] = {}
        self.suspended_since_us: dict[str, int] = {}
        self.is_draining = False
        self.batch_is_due = False
        self.closed_requests: deque[ClientRequest] = deque()
        self.batches = self.handled_events = self.cpu_ns = self.arrived_requests = 0
        self.outcomes: dict[RequestOutcome, int] = {}

    # -- the process ---------------------------------------------------------------------------------

    def start(self, cached: interface.EndpointList) -> None:
        """Starts a new incarnation with the cached endpoint list."""
        self.incarnation += 1
        self.is_up, self.policy = True, self.make_policy(self.index, self.incarnation)
        self.pending_events, self.requests, self.batch_is_due = [], {}, False
        self.closed_requests.clear()
        self.known_servers.clear()
        self.draining_since_us.clear()
        self.suspended_since_us.clear()
        self.is_draining = False
        self.last_delivery_us = self.engine.now
        self.receive_endpoints(cached)

    def kill(self) -> list[ClientRequest]:
        """Ends the process. Returns the requests that were still in `requests`."""
        held = list(self.requests.values())
        self.is_up, self.incarnation, self.policy = False, self.incarnation + 1, None
        self.pending_events, self.requests, self.batch_is_due = [], {}, False
        return held

    # -- events --------------------------------------------------------------------------------------

    def post(self, event: interface.Event) -> None:
        """Queues an event for the batch at the next tick."""
        self.pending_events.append(event)
        if not self.batch_is_due:
            self.batch_is_due = True
            due_us = -(-self.engine.now // self.tick_us) * self.tick_us
            self.engine.at(due_us, self._handle_batch, self.incarnation)

    def _fire_timer(self, incarnation: int, timer_id: int) -> None:
        if incarnation == self.incarnation and self.is_up:
            self.post(interface.TimerFired(timer_id))

    def _handle_batch(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.is_up:
            return
        events, self.pending_events, self.batch_is_due = self.pending_events, [], False
        self.batches += 1
        self._forget_closed_requests()
        self.handled_events += len(events)
        for action in self._call_policy(events):
            if perform := ACTION_HANDLERS.get(type(action)):
                perform(self, action)
            else:
                raise PolicyFailedError(f"policy returned an unknown action: {action!r}")

    def _forget_closed_requests(self) -> None:
        while self.closed_requests and self.closed_requests[0].closed_in_batch < self.batches - 1:
            request = self.closed_requests.popleft()
            if not any(attempt.is_active for attempt in request.attempts):
                self.requests.pop(request.id, None)

    def _call_policy(self, events: list[interface.Event]) -> list[interface.Action]:
        begun_ns = perf_counter_ns()
        try:
            actions = self.policy.handle(self.engine.now, events)  # type: ignore[union-attr]
        except Exception as error:
            raise PolicyFailedError(f"{type(error).__name__}: {error}") from error
        self.cpu_ns += perf_counter_ns() - begun_ns
        return actions

    def receive_endpoints(self, endpoint_list: interface.EndpointList) -> None:
        """Receives a full endpoint list or changes of it, and passes it to the policy."""
        now = self.engine.now
        if endpoint_list.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {entry.server_id for entry in endpoint_list.entries}
            for server in [server for server in self.endpoints if server not in listed]:
                del self.endpoints[server]
            for server in self.known_servers - listed:
                self.draining_since_us.setdefault(server, now)
        for entry in endpoint_list.entries:
            self.endpoints[entry.server_id] = entry
            self.known_servers.add(entry.server_id)
            if entry.state == EndpointState.READY:
                self.draining_since_us.pop(entry.server_id, None)
            else:
                self.draining_since_us.setdefault(entry.server_id, now)
        self.post(endpoint_list)

    def override_server(self, server: str, is_suspended: bool) -> None:
        """Handles an operator's override that suspends a server, or ends its suspension."""
        if not self.is_up:
            return
        if is_suspended:
            self.suspended_since_us.setdefault(server, self.engine.now)
        elif self.suspended_since_us.pop(server, None) is None:
            return  # the balancer has restarted since the suspension, which does not survive a restart
        self.post(interface.OperatorOverride(server, is_suspended))

    def receive_request(self, request: ClientRequest, event: interface.Request) -> None:
        """Receives a client's request, and schedules the check that it is answered in time."""
        self.requests[request.id] = request
        self.arrived_requests += 1
        self.post(event)
        grace_us = self.environment.answer_grace_us
        self.engine.at(request.deadline_us + grace_us + 1, self._check_answered, request, self.incarnation)

    def record_outcome(self, request: ClientRequest, outcome: RequestOutcome) -> None:
        """Records the outcome of a request.

        Raises:
            AssertionError: the request has an outcome already, which is a fault of the simulation.
        """
        if request.outcome is not None:
            raise AssertionError(f"request {request.id}: outcome {outcome} after outcome {request.outcome}")
        request.outcome = outcome
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def _check_answered(self, request: ClientRequest, incarnation: int) -> None:
        if incarnation == self.incarnation and not request.is_answered and not request.is_over:
            self.environment.record_violation("answered", "no final answer in time", request, "")
            self.receive_disconnect(request, RequestOutcome.OVERDUE)
            self.environment.report_overdue(request)

    def receive_disconnect(self, request: ClientRequest, outcome: RequestOutcome = RequestOutcome.DISCONNECTED) -> None:
        """Ends a request whose client has disconnected, and its pending attempts."""
        self.record_outcome(request, outcome)
        self._close_request(request)
        for attempt in request.attempts:
            if attempt.is_active and not attempt.is_established:
                self.environment.abandon_attempt(attempt)
        self.post(interface.ClientDisconnected(request.id))

    def _close_request(self, request: ClientRequest) -> None:
        request.is_over, request.closed_in_batch = True, self.batches
        self.closed_requests.append(request)

    # -- results of attempts ----------------------------------------------------------------------------

    def report_established(self, attempt: Attempt) -> None:
        """Tells the policy that the connection of an attempt is open."""
        request = attempt.request
        request.is_answered, request.established_attempt, attempt.is_established = True, attempt, True
        self.record_outcome(request, RequestOutcome.ESTABLISHED)
        took_us = self.engine.now - attempt.sent_us
        self.post(interface.ConnectionEstablished(request.id, attempt.number, attempt.server.name, took_us))

    def report_attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Tells the policy that an attempt is over; a second call for the attempt has no effect."""
        if not attempt.is_active:
            return
        attempt.is_active = False
        request = attempt.request
        if attempt.is_established or outcome == AttemptOutcome.SERVED:
            request.is_answered = request.is_over = True
        is_final = request.is_answered or request.is_over
        took_us = self.engine.now - attempt.sent_us
        self.post(
            interface.AttemptEnded(request.id, attempt.number, attempt.server.name, outcome, is_final, took_us, {})
        )
        if is_final:
            self._close_request(request)

    # -- actions -------------------------------------------------------------------------------------

    def _on_start_attempt(self, action: interface.StartAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is None or request.is_over:
            # The policy must respect an end that it has received or caused, but cannot know of one in the next batch.
            if request is None or request.was_ended_by_policy or request.closed_in_batch < self.batches - 1:
                self.environment.record_violation(
                    "answered", "attempt started after its end", request, action.server_id
                )
            return
        server = self.environment.servers.get(action.server_id)
        if server is None or action.server_id not in self.known_servers:
            raise PolicyFailedError(f"attempt at unknown server {action.server_id!r}: in no endpoint list")
        self._check_attempt_allowed(request, action.server_id)
        attempt = Attempt(request, len(request.attempts), server, self.engine.now)
        request.attempts.append(attempt)
        is_unsendable = (
            request.is_answered
            or attempt.number >= self.environment.max_attempts
            or self.engine.now >= request.deadline_us
        )
        if is_unsendable:
            self.report_attempt_ended(attempt, AttemptOutcome.UNSENT)
        else:
            self.environment.start_attempt(attempt, action.timeout_us)

    def _check_attempt_allowed(self, request: ClientRequest, server: str) -> None:
        if request.is_answered:
            self.environment.record_violation("answered", "attempt started after its final answer", request, server)
        if any(attempt.is_active for attempt in request.attempts):
            self.environment.record_violation("repeated", "two attempts at once", request, server)
        times_us = (self.draining_since_us.get(server), self.suspended_since_us.get(server))
        reported_us = min((at_us for at_us in times_us if at_us is not None), default=None)
        if reported_us is not None and self.engine.now > reported_us + self.environment.drain_grace_us:
            late_s = (self.engine.now - reported_us) / 1e6
            text = f"attempt started {late_s:.3f} s after the report that the server is draining or suspended"
            self.environment.record_violation("drained", text, request, server)

    def _on_cancel_attempt(self, action: interface.CancelAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            raise PolicyFailedError(f"cancels an attempt of unknown request {action.request_id!r}")
        if not 0 <= action.attempt_number < len(request.attempts):
            raise PolicyFailedError(f"cancels unknown attempt {action.attempt_number} of request {action.request_id!r}")
        attempt = request.attempts[action.attempt_number]
        if attempt.is_established and attempt.is_active:
            text = "an open connection was closed without MOVE"
            self.environment.record_violation("cut off", text, request, attempt.server.name)
            self.environment.close_without_notice(request)
        elif attempt.is_active:
            self.environment.abandon_attempt(attempt)
            self.report_attempt_ended(attempt, AttemptOutcome.CANCELLED)

    def _answer(self, id_: str, outcome: RequestOutcome) -> ClientRequest | None:
        """Ends a request with the policy's answer. Returns None if the request needs no answer any more."""
        request = self.requests.get(id_)
        if request is None or request.is_answered or request.is_over:
            return None
        request.is_answered = request.was_ended_by_policy = True
        self._close_request(request)
        self.record_outcome(request, outcome)
        return request

    def _on_reject(self, action: interface.Reject) -> None:
        if request := self._answer(action.request_id, RequestOutcome.REJECTED):
            self.environment.deliver_rejection(request, action.retry_after_us)

    def _on_fail(self, action: interface.Fail) -> None:
        if request := self._answer(action.request_id, RequestOutcome.FAILED):
            self.environment.deliver_failure(request)

    def _on_migrate(self, action: interface.Migrate) -> None:
        request = self.requests.get(action.request_id)
        if request and request.open_attempt():
            self.environment.migrate(request)

    def _on_set_timer(self, action: interface.SetTimer) -> None:
        # At least 1 us ahead, so that a timer never fires in the batch that sets it.
        due_us = max(action.at_us, self.engine.now + 1)
        self.engine.at(due_us, self._fire_timer, self.incarnation, action.timer_id)

    def _on_send_health_check(self, action: interface.SendHealthCheck) -> None:
        if action.server_id not in self.known_servers:
            raise PolicyFailedError(f"health check of unknown server {action.server_id!r}: in no endpoint list")
        self.environment.send_health_check(self, action.server_id)

    def _on_send_gossip(self, action: interface.SendGossip) -> None:
        if len(action.data) > MAX_GOSSIP_BYTES:
            raise PolicyFailedError(
                f"gossip summary of {len(action.data)} bytes exceeds the limit of {MAX_GOSSIP_BYTES} bytes"
            )
        self.environment.send_gossip(self, action.data)

    def _on_watch_endpoints(self, action: interface.WatchEndpoints) -> None:
        self.environment.watch_endpoints(self)


ACTION_HANDLERS: dict[type, Callable[[BalancerProcess, Any], None]] = {
    interface.StartAttempt: BalancerProcess._on_start_attempt,
    interface.CancelAttempt: BalancerProcess._on_cancel_attempt,
    interface.Reject: BalancerProcess._on_reject,
    interface.Fail: BalancerProcess._on_fail,
    interface.Migrate: BalancerProcess._on_migrate,
    interface.SetTimer: BalancerProcess._on_set_timer,
    interface.SendHealthCheck: BalancerProcess._on_send_health_check,
    interface.SendGossip: BalancerProcess._on_send_gossip,
    interface.WatchEndpoints: BalancerProcess._on_watch_endpoints,
}
