"""Which clients are asked to reconnect elsewhere: those of draining servers and of overloaded servers.

The network code migrates the clients of a balancer that shuts down or drains; they are not handled here.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from . import load_targets
from .event_batch import ROUND_US, SECOND_US, EventBatch
from .health_checks import HealthChecker
from .interface import Migrate
from .load_estimation import FEEDBACK_DELAY_US, FRESH_REPORT_US, MIN_LATE_LOAD, LoadEstimator
from .operator_overrides import OperatorOverrides
from .server_index import ServerIndex
from .state import RoutedRequest, Server

MIGRATION_US = 2 * SECOND_US  # clients of a draining server migrate over this time
OVERLOAD = 1.0  # load above which a server is relieved
RELIEVED_LOAD = 0.65  # load left at a relieved server if the others are nearly full
SPARE_LOAD = 0.5  # least load left at a relieved server if the others have free capacity
EMPTIED_LOAD = 0.3  # load left at a slow server
BACKLOG_US = 6 * SECOND_US  # time in which a server works off its backlog


@dataclass(eq=False)
class Migration:
    """Migrates clients in parts, one a round.

    Attributes:
        without_session: requests that are migrating and whose clients lose their sessions.
    """

    batch: EventBatch
    rng: random.Random
    index: ServerIndex
    overrides: OperatorOverrides
    loads: LoadEstimator
    health_checks: HealthChecker
    without_session: set[str] = field(init=False, default_factory=set)

    # -- draining servers ----------------------------------------------------------------------------

    def migrate_off_draining_servers(self) -> None:
        """Migrates, each round, a part of the clients of each draining server before it stops.

        A migration of all at once would be a mass return. The clients keep their sessions, so they are
        admitted again.
        """
        for server in self.index.with_connections():
            if server.migrate_by_us:
                rounds_left = max(1, (server.migrate_by_us - self.batch.now_us) // ROUND_US)
                part = -(-len(server.connections) // rounds_left)  # rounded up
                self._migrate_part(server, part)

    def _migrate_part(self, server: Server, part: int) -> None:
        free_load = self._free_load_elsewhere(server)
        for request_id, request in list(server.connections.items())[:part]:
            if free_load > 0:
                self.batch.emit(Migrate(request_id))
            free_load -= request.load

    def _free_load_elsewhere(self, server: Server) -> float:
        """Returns the load that may leave this round.

        It is bounded only for a server that an operator suspended and that is still listed: it still serves
        its clients, and overloaded servers would not. The bound brings the other servers to the target load,
        by this balancer's part of their load.
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
        is_scarce = self.loads.fleet_load > load_targets.HIGH_LOAD  # little free capacity elsewhere
        for server in self.index.with_connections():
            if not server.migrate_by_us:
                self._relieve(server, is_scarce)

    def _relieve(self, server: Server, is_scarce: bool) -> None:
        """Migrates this balancer's part of the excess load off a server, if it is overloaded.

        A server is late if its messages miss their objective, and slow if it lost capacity while the others
        have some. It is unobservable if its report is old and no health check may be sent.
        """
        is_late = self.loads.misses_message_objective(server)
        # Connections that ended since the report would otherwise be migrated a second time.
        load = self.loads.load(server) * self.loads.remaining_load_fraction(server)
        if not is_scarce and is_late:
            load = max(load, MIN_LATE_LOAD)
        # A server that lost capacity usually loses more, so it is emptied early and further.
        is_slow = server.capacity_ratio <= load_targets.SLOW_CAPACITY_RATIO and not is_scarce
        if load <= (load_targets.TARGET_LOAD if is_slow else OVERLOAD):
            return
        # A backlog keeps messages late after enough load has left, so a fresh report is awaited.
        is_stale = not is_late and self.batch.now_us - server.reported_at_us > FRESH_REPORT_US
        is_unobservable = is_stale and not self.health_checks.send(server)
        if not self._is_due(server, is_slow, is_late, is_unobservable and is_scarce):
            return
        if is_unobservable:
            load = max(load, self.loads.fleet_load)
        server.migrated_at_us = self.batch.now_us
        excess = (load - self._relieved_load(is_scarce, is_slow)) / load * server.own_load
        self._migrate_load(server, excess, is_scarce, by_group=is_slow)

    def _is_due(self, server: Server, is_slow: bool, is_late: bool, waits_for_backlog: bool) -> bool:
        """Returns whether the last migration off the server has had its effect, so that another may begin."""
        wait_us = FEEDBACK_DELAY_US
        if is_slow:
            wait_us = FRESH_REPORT_US
        elif waits_for_backlog:
            wait_us = BACKLOG_US
        if self.batch.now_us - server.migrated_at_us < wait_us:
            return False
        has_pending_check = server.health_check_sent_at_us >= 0
        return not has_pending_check or is_late

    def _relieved_load(self, is_scarce: bool, is_slow: bool) -> float:
        """Returns the load to leave at an overloaded server.

        If the other servers are nearly full, more than a few clients would be migrated back at once.
        """
        if is_scarce:
            return RELIEVED_LOAD
        if is_slow:
            return EMPTIED_LOAD
        return min(load_targets.TARGET_LOAD, max(SPARE_LOAD, self.loads.fleet_load))

    def _migrate_load(self, server: Server, excess: float, is_scarce: bool, by_group: bool) -> None:
        """Migrates connections of that total load; if capacity is scarce the clients lose their sessions."""
        for group in self._migration_order(server, is_scarce, by_group):
            load = sum(request.load for request in group)
            if excess < load and self.rng.random() * load > excess:
                break
            excess -= load
            for request in group:
                self.batch.emit(Migrate(request.event.request_id))
                if is_scarce:
                    self.without_session.add(request.event.request_id)

    def _migration_order(self, server: Server, is_scarce: bool, by_group: bool) -> list[list[RoutedRequest]]:
        """Returns the server's connections in the order in which they migrate.

        If capacity is scarce the order is drawn by priority weight: in strict order the lowest class would
        not be served at all. Otherwise the heaviest come first. Whole groups leave a slow server, since it
        bears a group's common work while it holds any connection of the group.
        """
        groups: dict[object, list[RoutedRequest]] = {}
        for request_id, request in server.connections.items():
            group_id = request.event.group if by_group else None
            groups.setdefault(request_id if group_id is None else group_id, []).append(request)
        ranked = []
        for number, group in enumerate(groups.values()):
            rank = -sum(request.load for request in group)
            if is_scarce:
                rank = group[0].request_class.priority_weight * self.rng.random()
            ranked.append((rank, number, group))
        return [group for _, _, group in sorted(ranked)]
