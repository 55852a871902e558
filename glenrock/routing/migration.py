"""Migration: which clients are asked to reconnect elsewhere, off draining and overloaded servers.

The clients of a balancer that shuts down or drains are migrated by the network code instead.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from . import load_targets
from .event_batch import ROUND_US, SECOND_US, EventBatch
from .health_checks import HealthChecker
from .interface import Migrate
from .load_estimation import FEEDBACK_DELAY_US, FRESH_REPORT_US, MISSED_OBJECTIVE_MIN_LOAD, LoadEstimator
from .operator_overrides import OperatorOverrides
from .server_index import ServerIndex
from .state import RoutedRequest, Server

MIGRATION_US = 2 * SECOND_US  # time over which the clients of a draining server are migrated
OVERLOAD_THRESHOLD = 1.0  # load above which clients are migrated off a server
SCARCE_RESIDUAL_LOAD = 0.65  # load to leave at an overloaded server if the others are nearly full
MIN_RESIDUAL_LOAD = 0.5  # minimum load to leave at an overloaded server if the others have free capacity
SLOW_SERVER_RESIDUAL_LOAD = 0.3  # load to leave at a slow server
BACKLOG_CLEAR_US = 6 * SECOND_US  # time that an overloaded server needs to work off its backlog


@dataclass(eq=False)
class Migration:
    """Migrates clients off draining and overloaded servers, a part of them in each round.

    Attributes:
        requests_losing_session: ids of migrating requests whose clients lose their sessions.
    """

    batch: EventBatch
    rng: random.Random
    index: ServerIndex
    overrides: OperatorOverrides
    loads: LoadEstimator
    health_checks: HealthChecker
    requests_losing_session: set[str] = field(init=False, default_factory=set)

    # -- draining servers ----------------------------------------------------------------------------

    def migrate_off_draining_servers(self) -> None:
        """Migrates a part of the clients of each draining server, so that all migrate before its deadline.

        If all clients were migrated at once, all would reconnect at the same time. They keep their sessions,
        so they are admitted again.
        """
        for server in self.index.with_connections():
            if server.migrate_by_us:
                rounds_left = max(1, (server.migrate_by_us - self.batch.now_us) // ROUND_US)
                count = -(-len(server.connections) // rounds_left)  # rounded up
                self._migrate_connections(server, count)

    def _migrate_connections(self, server: Server, count: int) -> None:
        free_load = self._free_load_elsewhere(server)
        for request_id, request in list(server.connections.items())[:count]:
            if free_load > 0:
                self.batch.emit(Migrate(request_id))
            free_load -= request.load

    def _free_load_elsewhere(self, server: Server) -> float:
        """Returns the load that may be migrated off the server in this round.

        The load is limited only for a server that an operator suspended and that is still listed as ready.
        Such a server still serves its clients, so they stay there rather than overload the other servers. The
        limit is this balancer's share of the load that brings the other servers to the target load.
        """
        if not server.is_listed_ready or self.overrides.allows(server.server_id):
            return float("inf")
        load_elsewhere = sum(
            request.load
            for other in self.index.with_connections()
            if other.is_ready
            for request in other.connections.values()
        )
        if not load_elsewhere:
            return float("inf")
        return load_elsewhere * (load_targets.TARGET_LOAD / self.loads.bounded_fleet_load - 1)

    # -- overloaded servers --------------------------------------------------------------------------

    def relieve_overloaded_servers(self) -> None:
        """Migrates this balancer's part of the excess load off each overloaded server."""
        is_capacity_scarce = self.loads.fleet_load > load_targets.HIGH_LOAD
        for server in self.index.with_connections():
            if not server.migrate_by_us:
                self._relieve(server, is_capacity_scarce)

    def _relieve(self, server: Server, is_capacity_scarce: bool) -> None:
        """Migrates this balancer's part of the excess load off a server, if it is overloaded.

        A server is slow if it has lost capacity while the others have free capacity. Its load is unobservable
        if its last report is old and no health check may be sent.
        """
        misses_objective = self.loads.misses_message_objective(server)
        # Excludes connections that ended since the report; otherwise their load would be migrated twice.
        load = self.loads.load(server) * self.loads.remaining_load_fraction(server)
        # Late messages are reason enough to migrate clients while the others have free capacity.
        if not is_capacity_scarce and misses_objective:
            load = max(load, MISSED_OBJECTIVE_MIN_LOAD)
        # A server that lost capacity usually loses more, and in the end drops all its connections, so it is
        # relieved earlier and to a lower load.
        is_slow = server.capacity_ratio <= load_targets.SLOW_CAPACITY_RATIO and not is_capacity_scarce
        if load <= (load_targets.TARGET_LOAD if is_slow else OVERLOAD_THRESHOLD):
            return
        # The backlog keeps messages late after enough load was migrated, so a fresh report is awaited.
        is_stale = not misses_objective and self.batch.now_us - server.reported_at_us > FRESH_REPORT_US
        is_unobservable = is_stale and not self.health_checks.send(server)
        if not self._is_due(server, is_slow, misses_objective, is_unobservable and is_capacity_scarce):
            return
        if is_unobservable:
            load = max(load, self.loads.fleet_load)
        server.migrated_at_us = self.batch.now_us
        excess = (load - self._residual_load(is_capacity_scarce, is_slow)) / load * server.own_load
        self._migrate_load(server, excess, is_capacity_scarce, by_group=is_slow)

    def _is_due(self, server: Server, is_slow: bool, misses_objective: bool, waits_for_backlog: bool) -> bool:
        """Returns whether the last migration off the server has taken effect, so that another may start."""
        wait_us = FEEDBACK_DELAY_US
        if is_slow:
            wait_us = FRESH_REPORT_US
        elif waits_for_backlog:
            wait_us = BACKLOG_CLEAR_US
        if self.batch.now_us - server.migrated_at_us < wait_us:
            return False
        has_pending_check = server.health_check_sent_at_us >= 0
        return not has_pending_check or misses_objective

    def _residual_load(self, is_capacity_scarce: bool, is_slow: bool) -> float:
        """Returns the load to leave at an overloaded server.

        If the other servers are nearly full, more load is left there: if many clients moved, the servers that
        receive them would be overloaded and would migrate them back.
        """
        if is_capacity_scarce:
            return SCARCE_RESIDUAL_LOAD
        if is_slow:
            return SLOW_SERVER_RESIDUAL_LOAD
        return min(load_targets.TARGET_LOAD, max(MIN_RESIDUAL_LOAD, self.loads.fleet_load))

    def _migrate_load(self, server: Server, excess: float, is_capacity_scarce: bool, by_group: bool) -> None:
        """Migrates connections whose loads add up to the excess.

        If capacity is scarce, their clients lose their sessions and have to be admitted again.
        """
        for group in self._migration_order(server, is_capacity_scarce, by_group):
            load = sum(request.load for request in group)
            if excess < load and self.rng.random() * load > excess:
                break
            excess -= load
            for request in group:
                self.batch.emit(Migrate(request.event.request_id))
                if is_capacity_scarce:
                    self.requests_losing_session.add(request.event.request_id)

    def _migration_order(
        self, server: Server, is_capacity_scarce: bool, by_group: bool
    ) -> list[list[RoutedRequest]]:
        """Returns the server's connections in migration order, as lists of connections that move together.

        If capacity is scarce, the order is random and weighted by priority, since in strict priority order
        the lowest class would not be served at all. Otherwise the connections with the highest load come
        first. With `by_group`, which is used for slow servers, whole groups move: a server bears the common
        work of a group as long as it holds any connection of the group.
        """
        groups: dict[object, list[RoutedRequest]] = {}
        for request_id, request in server.connections.items():
            group_id = request.event.group if by_group else None
            groups.setdefault(request_id if group_id is None else group_id, []).append(request)
        ranked = []
        for number, group in enumerate(groups.values()):
            rank = -sum(request.load for request in group)
            if is_capacity_scarce:
                rank = group[0].request_class.priority_weight * self.rng.random()
            ranked.append((rank, number, group))
        return [group for _, _, group in sorted(ranked)]
