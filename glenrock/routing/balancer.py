"""The balancer: wires the parts of the routing decisions, hands them their events, and runs the round.

One `Balancer` for each process in service; it has no clock, no I/O and shares nothing with other instances.
Why the decisions are as they are: docs/design.md.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from .activity_history import ActivityHistory
from .admission import LAG_US, AdmissionController
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

MIN_SESSION_US = 2 * SECOND_US
MIN_BUCKET_US = SECOND_US


class Balancer:
    """The decisions of one balancer.

    Attributes:
        settings: as given.
        batch: the batch that is being handled; `batch.warnings` is for the log.
        servers: by id. `requests`: under way, by id.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.batch = EventBatch()
        self.is_draining = False  # all clients here are sent away
        rng = self._rng = random.Random(seed)  # noqa: S311 - draws need be repeatable, not secret
        salt = rng.getrandbits(64)
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        objectives = [c.message_objective_us for c in settings.classes if c.message_objective_us]
        self._message_objective_us = min(objectives, default=0)
        self._build_state(salt)
        self._build_policies(salt)
        self.servers = self.endpoints.servers
        self.requests = self.lifecycle.requests
        self._handlers: dict[type, Callable[[Any], None]] = {
            EndpointList: self._on_endpoint_list,
            Request: self._on_request,
            OpenConnection: self._on_open_connection,
            ConnectionEstablished: self.lifecycle.established,
            ConnectionFeedback: self._on_feedback,
            AttemptEnded: self._on_attempt_ended,
            ClientDisconnected: self._on_client_disconnected,
            TimerFired: self._on_timer,
            HealthCheckResult: self._on_health_check_result,
            GossipReceived: self._on_gossip,
            OperatorOverride: self._on_override,
            DrainMode: self._on_drain_mode,
        }

    def _build_state(self, salt: int) -> None:
        """Mechanisms: records and estimates."""
        settings, batch = self.settings, self.batch
        # A client that is cut off comes back within the longest Retry-After or so.
        session_us = max(MIN_SESSION_US, 2 * settings.max_retry_after_us)
        self.sessions = ClientSessions(batch, session_us)
        self.waiting_queue = WaitingQueue(batch, max(MIN_BUCKET_US, settings.max_retry_after_us))
        self.connection_loads = ConnectionLoads()
        self.gossip = Gossip(
            batch, settings, self._rng, self.sessions, self.waiting_queue, self.connection_loads
        )
        self.domains = FailureDomains()
        self.affinity = GroupAffinity()
        self.overrides = OperatorOverrides()
        self.polling = EndpointPolling(batch, settings, self._rng)
        self.endpoints = EndpointTable(batch, settings, self.overrides, MIGRATION_US)
        servers = self.endpoints.servers
        self.loads = LoadEstimator(batch, settings)
        self.capacity = CapacityEstimator(batch, servers, self.loads, self.sessions, self.connection_loads)
        self.slow_start = SlowStart(batch, settings, servers, self.loads, self.capacity, salt)
        shortest_us = min(c.latency_objective_us for c in settings.classes)
        self.concurrency = ConcurrencyLimit(batch, shortest_us)

    def _build_policies(self, salt: int) -> None:
        """Decisions, each with what it reads."""
        settings, batch, rng = self.settings, self.batch, self._rng
        servers = self.endpoints.servers
        self.ejection = OutlierEjection(
            batch, settings, rng, servers, self.endpoints.index, self.loads, self.slow_start, self.domains
        )
        self.retries = RetryPolicy(batch, settings, rng, self.endpoints, self.overrides, self.ejection)
        self.admission = AdmissionController(
            batch,
            settings,
            rng,
            self.endpoints.index,
            self.sessions,
            self.waiting_queue,
            self.gossip,
            self.loads,
            self.capacity,
            self.slow_start,
            self.ejection,
            ActivityHistory(batch, LAG_US),
        )
        self.selection = ServerSelection(
            batch,
            settings,
            rng,
            self.endpoints,
            self.loads,
            self.capacity,
            self.slow_start,
            self.ejection,
            self.retries,
            self.affinity,
        )
        self.health_checks = HealthChecker(
            batch,
            settings,
            self.endpoints,
            self.loads,
            self.domains,
            self.ejection,
            self.selection,
            salt,
            health_check_budget(settings),
            health_connection_budget(),
        )
        self.migration = Migration(
            batch, rng, self.endpoints.index, self.overrides, self.loads, self.health_checks
        )
        self.lifecycle = RequestLifecycle(
            batch,
            settings,
            self.sessions,
            self.waiting_queue,
            self.concurrency,
            self.affinity,
            self.slow_start,
            self.ejection,
            self.retries,
            self.admission,
            self.selection,
            self.health_checks,
            self.migration,
        )

    # -- what the caller uses ------------------------------------------------------------------------

    def handle(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Takes a batch of events in. Returns what is to be done, in order. `now_us` never goes back."""
        is_first = not self.batch.now_us
        self.batch.begin(now_us)
        if is_first:
            self.polling.start()
            self.schedule_round(now_us + 1 + int(self._rng.random() * ROUND_US))
        self.ejection.update_failure_domains()
        for event in events:
            if handler := self._handlers.get(type(event)):
                handler(event)
        return self.batch.actions

    def schedule_round(self, at_us: int) -> None:
        """Asks for the timer of the next round; after a fault the caller does so, since rounds must go on."""
        self.batch.set_timer(at_us, RoundTimer())

    def load_of(self, request_id: str) -> int:
        """The load of a request's connection as last known; 0 for one that is not under way."""
        request = self.requests.get(request_id)
        return int(request.load) if request else 0

    def may_reject(self, request_id: str) -> bool:
        """Whether its client may be told to come again; true for a request that is not known yet."""
        request = self.requests.get(request_id)
        return request is None or self.retries.may_reject(request)

    def count_avoided(self, server_ids: Iterable[str]) -> int:
        """How many of these servers get nothing new now, by an operator's word or by choice. Reads only."""
        found = (self.servers.get(server_id) for server_id in server_ids)
        return sum(s is None or not s.ready or not self.ejection.is_usable(s) for s in found)

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
        if event.id in self.requests:
            return
        request = self._routed(event)
        if not event.is_returning and request.key not in self.waiting_queue:  # costs go by first attempts
            self.health_checks.earn()
            self.gossip.budget.earn()
        self.lifecycle.start(request)

    def _on_open_connection(self, event: OpenConnection) -> None:
        server = self.servers.get(event.server)
        if server is None or event.request.id in self.requests:
            return
        self.endpoints.start_draining(server)
        self.lifecycle.adopt(self._routed(event.request), server)
        self.health_checks.earn()  # it was a first attempt once, and counts as one in the cost

    def _routed(self, event: Request) -> RoutedRequest:
        request_class = self._classes.get(event.service) or self.settings.classes[0]
        if event.load > 0:
            load = float(event.load)
            self.connection_loads.record(event.service, load)
        else:
            load = self.connection_loads.expected(event.service)
        key = event.id if event.key is None else event.key
        return RoutedRequest(event, request_class, key, load, self.batch.now_us)

    def _on_feedback(self, event: ConnectionFeedback) -> None:
        request = self.requests.get(event.id)
        if request is None:
            return
        if event.load is not None and event.load >= 0:
            # Where requests carry no hint, the mean is learned here or not at all; each newcomer would count
            # as nothing, and a mass return be heaped on the servers that were asked last.
            self.connection_loads.record(request.event.service, event.load)
            self.sessions.change_load(request, event.load)
        server = self.servers.get(event.server)
        if server is None:
            return
        server.last_heard_us = self.batch.now_us
        if event.message_us is None or not self._message_objective_us:
            return
        if self.loads.record_delay(server, event.message_us, self._message_objective_us):
            self.ejection.cut_weight(server)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        self.lifecycle.attempt_ended(event, self.is_draining)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        self.lifecycle.client_disconnected(event.id)

    def _on_timer(self, event: TimerFired) -> None:
        match self.batch.pop_timer(event.ref):
            case RoundTimer():
                self._run_round()
            case RequestTimer(request_id):
                self.lifecycle.timer_fired(request_id)

    def _on_health_check_result(self, event: HealthCheckResult) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        self.health_checks.record_result(server, event)
        self.lifecycle.finish_check(server.id)

    def _on_gossip(self, event: GossipReceived) -> None:
        peer = self.gossip.receive(event)
        if peer is not None:
            self.admission.record_new_peer(peer.active_load)

    def _on_drain_mode(self, event: DrainMode) -> None:
        self.is_draining = event.is_draining
        self.gossip.next_us = self.batch.now_us
        if event.is_draining:
            self.slow_start.reference_load = 0.0  # the others bring it, as soon as they hear of it

    # -- the round -----------------------------------------------------------------------------------

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
        self.health_checks.run_round(self.admission.is_cap_open)
        self.lifecycle.retry_waiting()
        self.polling.poll_if_due()
        self.gossip.send_if_due(self.admission.lagged_clients(), self.admission.is_cap_open, self.is_draining)

    def _update_estimates(self) -> None:
        peers = self.gossip.peers.values()
        # Traffic is uneven, most while a balancer drains; by its own load alone a server looks full at once.
        tier_load = self.gossip.tier_load() * self.settings.balancers / (1 + len(peers))
        ready = len(self.endpoints.index.ready)
        self.capacity.update_server_capacity(tier_load, ready)
        own_load = sum(request.load for request in self.requests.values() if request.server)
        load = reference_load(
            own_load, self.admission.client_fraction(), peers, self.settings.balancers, self.is_draining
        )
        self.slow_start.update_reference_load(load, self.is_draining)
