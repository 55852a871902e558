"""The balancer: connects the modules of routing, dispatches events to them, and runs the periodic round.

A process has one `Balancer`. It reads no clock, does no I/O, and shares no state with other balancers. The
reasons for its decisions are in docs/design.md.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from .activity_history import ActivityHistory
from .admission import CLIENT_COUNT_LAG_US, AdmissionController
from .capacity_estimation import CapacityEstimator
from .client_sessions import ClientSessions
from .connection_concurrency import ConcurrencyLimit
from .connection_load import ConnectionLoads
from .endpoint_polling import EndpointPolling
from .endpoint_table import EndpointTable
from .event_batch import ROUND_US, SECOND_US, EventBatch, RequestTimer, RoundTimer
from .failure_domains import FailureDomains
from .gossip import Gossip
from .group_affinity import GroupAffinity
from .health_checks import HealthChecker
from .interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionFeedback,
    DrainMode,
    EndpointList,
    EndpointListKind,
    Event,
    GossipReceived,
    HealthCheckResult,
    OpenConnection,
    OperatorOverride,
    Request,
    Settings,
    SlowStartSends,
    TimerFired,
)
from .load_estimation import LoadEstimator
from .migration import MIGRATION_US, Migration
from .operator_overrides import OperatorOverrides
from .outlier_ejection import OutlierEjection
from .request_lifecycle import RequestLifecycle
from .retries import RetryPolicy
from .server_selection import ServerSelection
from .slow_start import SlowStart, reference_load
from .state import RoutedRequest
from .token_budget import health_check_budget, health_connection_budget
from .waiting_queue import WaitingQueue

MIN_SESSION_TIMEOUT_US = 2 * SECOND_US
MIN_BUCKET_US = SECOND_US  # of the waiting queue


class Balancer:
    """Makes the routing decisions of one balancer.

    Attributes:
        settings: the settings, which do not change.
        batch: the batch of events that is being handled; the caller logs `batch.ignored_summaries`.
        is_draining: the clients of this balancer migrate to the other balancers.
        servers: known servers, by id.
        requests: requests in progress and open connections, by request id.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.batch = EventBatch()
        self.is_draining = False
        self._rng = random.Random(seed)  # noqa: S311 - draws need be repeatable, not secret
        salt = self._rng.getrandbits(64)
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        objectives_us = [
            class_.message_objective_us for class_ in settings.classes if class_.message_objective_us
        ]
        self._message_objective_us = min(objectives_us, default=0)
        self._build_state(salt)
        self._build_server_policies()
        self._build_load_policies(salt)
        self._build_lifecycle()
        self.servers = self.endpoints.servers
        self.requests = self.lifecycle.requests
        self._handlers: dict[type, Callable[[Any], None]] = {
            EndpointList: self._on_endpoint_list,
            Request: self._on_request,
            OpenConnection: self._on_open_connection,
            ConnectionEstablished: self.lifecycle.on_established,
            ConnectionFeedback: self._on_feedback,
            AttemptEnded: self._on_attempt_ended,
            ClientDisconnected: self._on_client_disconnected,
            TimerFired: self._on_timer,
            HealthCheckResult: self._on_health_check_result,
            GossipReceived: self._on_gossip,
            OperatorOverride: self._on_override,
            DrainMode: self._on_drain_mode,
            SlowStartSends: self._on_slow_start_sends,
        }

    def _build_state(self, salt: int) -> None:
        """Builds the records of servers, sessions and peers, and the load estimates."""
        settings, batch = self.settings, self.batch
        # A client whose connection broke reconnects within about the longest Retry-After.
        session_timeout_us = max(MIN_SESSION_TIMEOUT_US, 2 * settings.max_retry_after_us)
        bucket_us = max(MIN_BUCKET_US, settings.max_retry_after_us)
        shortest_objective_us = min(class_.latency_objective_us for class_ in settings.classes)
        self.sessions = ClientSessions(batch, session_timeout_us)
        self.waiting_queue = WaitingQueue(batch, bucket_us)
        self.connection_loads = ConnectionLoads()
        self.gossip = Gossip(
            batch=batch,
            settings=settings,
            rng=self._rng,
            sessions=self.sessions,
            waiting_queue=self.waiting_queue,
            connection_loads=self.connection_loads,
        )
        self.domains = FailureDomains()
        self.affinity = GroupAffinity()
        self.overrides = OperatorOverrides()
        self.polling = EndpointPolling(batch, settings, self._rng)
        self.endpoints = EndpointTable(batch, settings, self.overrides, MIGRATION_US)
        self.loads = LoadEstimator(batch, settings)
        self.capacity = CapacityEstimator(
            batch=batch,
            servers=self.endpoints.servers,
            loads=self.loads,
            sessions=self.sessions,
            connection_loads=self.connection_loads,
        )
        self.slow_start = SlowStart(
            batch=batch,
            settings=settings,
            servers=self.endpoints.servers,
            loads=self.loads,
            capacity=self.capacity,
            salt=salt,
        )
        self.concurrency = ConcurrencyLimit(batch, shortest_objective_us)

    def _build_server_policies(self) -> None:
        """Builds the policies that select a server for a request."""
        settings, batch, rng = self.settings, self.batch, self._rng
        self.ejection = OutlierEjection(
            batch=batch,
            settings=settings,
            rng=rng,
            servers=self.endpoints.servers,
            index=self.endpoints.index,
            loads=self.loads,
            slow_start=self.slow_start,
            domains=self.domains,
        )
        self.retries = RetryPolicy(
            batch=batch,
            settings=settings,
            rng=rng,
            endpoints=self.endpoints,
            overrides=self.overrides,
            ejection=self.ejection,
        )
        self.selection = ServerSelection(
            batch=batch,
            settings=settings,
            rng=rng,
            endpoints=self.endpoints,
            loads=self.loads,
            capacity=self.capacity,
            slow_start=self.slow_start,
            ejection=self.ejection,
            retries=self.retries,
            affinity=self.affinity,
        )

    def _build_load_policies(self, salt: int) -> None:
        """Builds the policies that observe and limit the load of the servers."""
        settings, batch, rng = self.settings, self.batch, self._rng
        self.admission = AdmissionController(
            batch=batch,
            settings=settings,
            rng=rng,
            index=self.endpoints.index,
            sessions=self.sessions,
            waiting_queue=self.waiting_queue,
            gossip=self.gossip,
            loads=self.loads,
            capacity=self.capacity,
            slow_start=self.slow_start,
            ejection=self.ejection,
            history=ActivityHistory(batch, CLIENT_COUNT_LAG_US),
        )
        self.health_checks = HealthChecker(
            batch=batch,
            settings=settings,
            endpoints=self.endpoints,
            loads=self.loads,
            domains=self.domains,
            ejection=self.ejection,
            selection=self.selection,
            salt=salt,
            budget=health_check_budget(settings),
            connection_budget=health_connection_budget(),
        )
        self.migration = Migration(
            batch=batch,
            rng=rng,
            index=self.endpoints.index,
            overrides=self.overrides,
            loads=self.loads,
            health_checks=self.health_checks,
        )

    def _build_lifecycle(self) -> None:
        """Builds the request lifecycle, which applies all policies."""
        self.lifecycle = RequestLifecycle(
            batch=self.batch,
            settings=self.settings,
            sessions=self.sessions,
            waiting_queue=self.waiting_queue,
            concurrency=self.concurrency,
            affinity=self.affinity,
            index=self.endpoints.index,
            loads=self.loads,
            slow_start=self.slow_start,
            ejection=self.ejection,
            retries=self.retries,
            admission=self.admission,
            selection=self.selection,
            health_checks=self.health_checks,
            migration=self.migration,
        )

    # -- public methods ------------------------------------------------------------------------------

    def handle(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Handles a batch of events. Returns the actions for the caller to execute, in order.

        Args:
            now_us: the current time, which must not be earlier than that of the previous batch.
            events: the events, in the order in which they happened.
        """
        is_first_batch = not self.batch.now_us
        self.batch.begin(now_us)
        if is_first_batch:
            self.polling.start()
            # The first round is at a random time, so that balancers that start together do not send their
            # gossip all at once.
            self.schedule_round(now_us + 1 + int(self._rng.random() * ROUND_US))
        self.ejection.update_failure_domains()
        for event in events:
            if handler := self._handlers.get(type(event)):
                handler(event)
        return self.batch.actions

    def schedule_round(self, at_us: int) -> None:
        """Sets the timer of the next round. The caller uses this after an error, so that rounds continue."""
        self.batch.set_timer(at_us, RoundTimer())

    def load_of(self, request_id: str) -> int:
        """Returns the last known load of a request's connection; 0 if the request is not known."""
        request = self.requests.get(request_id)
        return int(request.load) if request else 0

    def may_reject(self, request_id: str) -> bool:
        """Returns whether the request may be rejected; False for a request that is not known (any more)."""
        request = self.requests.get(request_id)
        return request is not None and self.retries.may_reject(request)

    def count_unavailable(self, server_ids: Iterable[str]) -> int:
        """Returns how many of these servers are suspended, ejected, not ready or not known."""
        found = (self.servers.get(server_id) for server_id in server_ids)
        return sum(
            server is None or not server.is_ready or not self.ejection.is_usable(server) for server in found
        )

    def slow_start_sends(self) -> list[SlowStartSends]:
        """Returns the load that was sent from the present slow-start budgets, by server."""
        return self.slow_start.present_sends()

    # -- events --------------------------------------------------------------------------------------

    def _on_endpoint_list(self, event: EndpointList) -> None:
        if event.kind == EndpointListKind.FAILED:
            self.polling.record_failure()
            return
        if event.kind != EndpointListKind.CACHED:
            self.polling.record_success()
        self.endpoints.apply(event, self.requests)

    def _on_override(self, event: OperatorOverride) -> None:
        self.endpoints.apply_override(event)

    def _on_request(self, event: Request) -> None:
        if event.request_id in self.requests:
            return
        request = self._routed_request(event)
        # Costs are accounted per client, so only a client's first attempt adds tokens to the budgets.
        if not event.is_returning and request.key not in self.waiting_queue:
            self.health_checks.refill_budgets()
            self.gossip.budget.refill()
        self.lifecycle.on_request(request)

    def _on_open_connection(self, event: OpenConnection) -> None:
        server = self.servers.get(event.server_id)
        if server is None or event.request.request_id in self.requests:
            return
        self.endpoints.schedule_migration(server)
        self.lifecycle.add_open_connection(self._routed_request(event.request), server)
        self.health_checks.refill_budgets()  # the first attempt was made before this balancer started

    def _routed_request(self, event: Request) -> RoutedRequest:
        request_class = self._classes.get(event.class_name) or self.settings.classes[0]
        if event.load > 0:
            load = float(event.load)
            self.connection_loads.record(event.class_name, load)
        else:
            load = self.connection_loads.expected(event.class_name)
        key = event.request_id if event.key is None else event.key
        return RoutedRequest(event, request_class, key, load, self.batch.now_us)

    def _on_feedback(self, event: ConnectionFeedback) -> None:
        request = self.requests.get(event.request_id)
        if request is None:
            return
        if event.load is not None and event.load >= 0:
            # If requests carry no load hints, only reported loads yield the expected load of new requests.
            # Without it, new requests would count as almost nothing, and a mass reconnect would be sent to
            # the servers that were checked last.
            self.connection_loads.record(request.event.class_name, event.load)
            self.sessions.change_load(request, event.load)
        server = self.servers.get(event.server_id)
        if server is None:
            return
        server.last_heard_at_us = self.batch.now_us
        if event.message_us is None or not self._message_objective_us:
            return
        if self.loads.record_delay(server, event.message_us, self._message_objective_us):
            self.ejection.cut_weight(server)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        self.lifecycle.on_attempt_ended(event, self.is_draining)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        self.lifecycle.on_client_disconnected(event.request_id)

    def _on_timer(self, event: TimerFired) -> None:
        match self.batch.pop_timer(event.timer_id):
            case RoundTimer():
                self._run_round()
            case RequestTimer(request_id):
                self.lifecycle.on_timer(request_id)

    def _on_health_check_result(self, event: HealthCheckResult) -> None:
        server = self.servers.get(event.server_id)
        if server is None:
            return
        self.health_checks.record_result(server, event)
        self.lifecycle.on_health_check_ended(server.server_id)

    def _on_gossip(self, event: GossipReceived) -> None:
        new_peer = self.gossip.receive(event)
        if new_peer is not None:
            self.admission.record_new_peer(new_peer.active_load)

    def _on_drain_mode(self, event: DrainMode) -> None:
        self.is_draining = event.is_draining
        self.gossip.send_at_next_round()
        if event.is_draining:
            self.slow_start.clear_reference_load()  # the other balancers take over these clients

    def _on_slow_start_sends(self, event: SlowStartSends) -> None:
        server = self.servers.get(event.server_id)
        if server:
            self.slow_start.take_over_sends(server, event.sends)

    # -- periodic round ------------------------------------------------------------------------------

    def _run_round(self) -> None:
        self.schedule_round(self.batch.now_us + ROUND_US)
        self.sessions.expire()
        self.waiting_queue.expire()
        self.gossip.forget_lost_peers()
        self.admission.record_activity()
        self.loads.record_own_load(self.endpoints.index.with_connections())
        self.admission.update_cap()
        self.concurrency.finish_round()
        self._update_estimates()
        self.admission.update_quota()
        self.migration.migrate_off_draining_servers()
        self.migration.relieve_overloaded_servers()
        self.health_checks.run_round(self.admission.is_uncapped)
        self.lifecycle.retry_waiting()
        self.polling.poll_if_due()
        self.gossip.send_if_due(
            self.admission.lagged_client_count(), self.admission.is_uncapped, self.is_draining
        )

    def _update_estimates(self) -> None:
        peers = self.gossip.peers.values()
        # Capacity is estimated from the load of all balancers, since their loads differ, most of all while
        # one drains: from this balancer's load alone, a server would seem full at once. The sum is scaled up
        # for balancers without a recent gossip summary.
        total_active_load = self.gossip.total_active_load() * self.settings.balancers / (1 + len(peers))
        self.capacity.update_server_capacity(total_active_load, len(self.endpoints.index.ready))
        own_load = sum(request.load for request in self.requests.values() if request.server)
        load = reference_load(
            own_load=own_load,
            client_fraction=self.admission.client_fraction(),
            peers=peers,
            balancers=self.settings.balancers,
            is_balancer_draining=self.is_draining,
        )
        self.slow_start.update_reference_load(load, self.is_draining)
