"""Which clients are asked to connect elsewhere: off servers that drain, and off servers that are overloaded.

Clients of a balancer that goes are migrated by the network code, one and all.
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

MIGRATION_US = (
    2 * SECOND_US
)  # clients of a draining server are migrated over this time, before it cuts them off
OVERLOAD = 1.0  # above this a server serves hardly any message in time
RELIEVED_LOAD = 0.65  # overloaded servers go down to this, so that the work piled up drains
SPARE_LOAD = 0.5  # or to this where the others have room: what makes one slow often makes it slower yet
EMPTIED_LOAD = 0.3  # a slow one is emptied to this
BACKLOG_US = 6 * SECOND_US  # work piled up at a server takes this long to go


@dataclass(eq=False)
class Migration:
    """Moves in parts, a round each. `without_session`: requests that are migrated and keep no session."""

    batch: EventBatch
    rng: random.Random
    index: ServerIndex
    overrides: OperatorOverrides
    loads: LoadEstimator
    health_checks: HealthChecker
    without_session: set[str] = field(init=False, default_factory=set)

    # -- servers that drain --------------------------------------------------------------------------

    def migrate_off_draining_servers(self) -> None:
        """Clients leave a draining server before it does, a part each round.

        All at once would be a mass return, and each move has its price. Their sessions stand, so they come in
        again as they are.
        """
        for server in self.index.with_connections():
            if server.migrate_by_us:
                rounds_left = max(1, (server.migrate_by_us - self.batch.now_us) // ROUND_US)
                self._leave(server, -(-len(server.connections) // rounds_left))

    def _leave(self, server: Server, most: int) -> None:
        room = self._room_for_clients_of(server)
        for request_id, request in list(server.connections.items())[:most]:
            if room > 0:
                self.batch.emit(Migrate(request_id))
            room -= request.load

    def _room_for_clients_of(self, server: Server) -> float:
        """Load that may leave now: bounded only off a server that an operator took out and is still listed.

        Who stands there is still served; at servers that are full they would not be, nor who stood there. So
        no more goes than brings the rest to the target, in proportion to what is ours there.
        """
        if not server.listed or self.overrides.allows(server.id):
            return float("inf")
        rest = sum(
            request.load
            for other in self.index.with_connections()
            if other.ready
            for request in other.connections.values()
        )
        if not rest:
            return float("inf")
        return rest * (load_targets.TARGET_LOAD / max(0.1, self.loads.fleet_load) - 1)

    # -- servers that are overloaded -----------------------------------------------------------------

    def relieve_overloaded_servers(self) -> None:
        """Above capacity a server serves nobody in time. Each balancer takes its part of the excess away."""
        scarce = self.loads.fleet_load > load_targets.HIGH_LOAD  # no room elsewhere
        for server in self.index.with_connections():
            if not server.migrate_by_us:
                self._relieve(server, scarce)

    def _relieve(self, server: Server, scarce: bool) -> None:
        late = self.loads.misses_message_objective(server)
        # What left after the report's time would be sent away once more.
        load = self.loads.load(server) * self.loads.remaining_load_fraction(server)
        if not scarce and late:
            load = max(load, MIN_LATE_LOAD)  # where there is room, late messages are enough
        # One that loses its capacity mostly goes on to drop all it holds: little is left there, and early.
        slow = server.capacity_ratio <= load_targets.SLOW_CAPACITY_RATIO and not scarce
        if load <= (load_targets.TARGET_LOAD if slow else OVERLOAD):
            return
        # Work piled up keeps messages late long after enough has left; without a report, wait for that.
        stale = not late and self.batch.now_us - server.reported_at_us > FRESH_REPORT_US
        blind = stale and not self.health_checks.send(server)
        if not self._is_due(server, slow, late, blind and scarce):
            return
        if blind:
            load = max(load, self.loads.fleet_load)
        server.migrated_at_us = self.batch.now_us
        excess = (load - self._relieved_load(scarce, slow)) / load * server.own_load
        self._shed(server, excess, scarce, by_group=slow)

    def _is_due(self, server: Server, slow: bool, late: bool, wait_for_backlog: bool) -> bool:
        wait_us = FEEDBACK_DELAY_US
        if slow:
            wait_us = FRESH_REPORT_US
        elif wait_for_backlog:
            wait_us = BACKLOG_US
        if self.batch.now_us - server.migrated_at_us < wait_us:
            return False
        return server.health_check_sent_us < 0 or late

    def _relieved_load(self, scarce: bool, slow: bool) -> float:
        """Where the others are nearly full too, clients in number would go round and round."""
        if scarce:
            return RELIEVED_LOAD
        if slow:
            return EMPTIED_LOAD
        return min(load_targets.TARGET_LOAD, max(SPARE_LOAD, self.loads.fleet_load))

    def _shed(self, server: Server, excess: float, scarce: bool, by_group: bool) -> None:
        """Migrates connections until the excess has left; where room is scarce they keep no session."""
        for group in self._shedding_order(server, scarce, by_group):
            load = sum(request.load for request in group)
            if excess < load and self.rng.random() * load > excess:
                break
            excess -= load
            for request in group:
                self.batch.emit(Migrate(request.event.id))
                if scarce:
                    self.without_session.add(request.event.id)

    def _shedding_order(self, server: Server, scarce: bool, by_group: bool) -> list[list[RoutedRequest]]:
        """By priority weight where room is scarce, else the heaviest first.

        Weights are drawn by: in strict order the least class would be served nothing at all. A slow server
        loses whole groups, since it bears a group's common work while it holds any of it.
        """
        groups: dict[object, list[RoutedRequest]] = {}
        for request_id, request in server.connections.items():
            group_id = request.event.group if by_group else None
            groups.setdefault(request_id if group_id is None else group_id, []).append(request)
        ranked = []
        for number, group in enumerate(groups.values()):
            rank = -sum(request.load for request in group)
            if scarce:
                rank = group[0].request_class.priority_weight * self.rng.random()
            ranked.append((rank, number, group))
        return [group for _, _, group in sorted(ranked)]
