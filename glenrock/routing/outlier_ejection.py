"""Which servers receive less work, or none: weights, ejection of unreachable servers, and panic mode.

Weights increase additively and decrease multiplicatively (AIMD).
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from . import load_targets
from .endpoint_table import MAX_WEIGHT
from .event_batch import SECOND_US, EventBatch
from .failure_domains import FailureDomains
from .interface import Settings
from .load_estimation import FEEDBACK_DELAY_US, LoadEstimator, load_of_report
from .server_index import ServerIndex
from .slow_start import SlowStart
from .state import Server

WEIGHT_CUT_FACTOR = 0.7  # at most once per feedback delay
WEIGHT_RISE = 0.05  # per report below the mean load
MIN_WEIGHT = 0.05
OUTLIER_RATIO = 1.2  # of the mean load; a server above it is overloaded by itself
FAILURES_TO_EJECT = 2  # in a row
MAX_FAILURES = 6  # in a row; further ones do not extend the ejection
FIRST_EJECTION_US = SECOND_US / 4  # doubled for each failure; the first ejection is 1 s, with jitter


@dataclass(eq=False)
class OutlierEjection:
    """Decides which servers may receive new work.

    Attributes:
        is_panicking: no ready server is usable, so ejections of servers and zones are ignored.
    """

    batch: EventBatch
    settings: Settings
    rng: random.Random
    servers: Mapping[str, Server]
    index: ServerIndex
    loads: LoadEstimator
    slow_start: SlowStart
    domains: FailureDomains
    is_panicking: bool = field(init=False, default=False)

    def may_receive(self, server: Server, load: float) -> bool:
        """Returns whether the server may receive new work of that load now, of any request.

        A server that is draining, or suspended by an operator, is not ready and receives nothing.
        """
        is_allowed = server.is_ready and (self.is_usable(server) or self.is_panicking)
        return is_allowed and self.slow_start.headroom(server) >= load

    def is_usable(self, server: Server) -> bool:
        """Returns whether neither the server nor its failure domain is ejected."""
        now_us = self.batch.now_us
        return now_us >= server.ejected_until_us and self.domains.may_use(now_us, server.zone, server.hash)

    def servers_in_reach(self) -> list[Server]:
        """Returns the ready servers without a recent failure, in domains that may be used."""
        now_us = self.batch.now_us
        found = self.index.ready_without_suspects(now_us)
        if self.domains.has_restrictions(now_us):
            return [server for server in found if self.domains.may_use(now_us, server.zone, server.hash)]
        return found

    def update_panic(self) -> None:
        """Enters panic mode if no ready server is usable, and leaves it otherwise.

        With all servers or zones ejected no request would be sent for seconds; trying an ejected server is
        better.
        """
        self.is_panicking = not any(self.is_usable(server) for server in self.index.ready)

    def record_load(self, server: Server, load: float) -> None:
        """Records a reported load, and cuts or raises the server's weight.

        Weights depend on the mean load: if all servers are slow alike, the cap has to fall instead.
        """
        self.loads.record_report(server, load)
        if load > max(load_targets.HIGH_LOAD, OUTLIER_RATIO * self.loads.fleet_load):
            self.cut_weight(server)
        elif load < self.loads.fleet_load:
            server.weight = min(MAX_WEIGHT, server.weight + WEIGHT_RISE)

    def record_report(self, server: Server, report: dict[str, float]) -> None:
        """Records the load of a load report, if the report has one."""
        load = load_of_report(report)
        if load is not None:
            self.record_load(server, load)

    def cut_weight(self, server: Server) -> None:
        """Cuts the server's weight, at most once per feedback delay."""
        if self.batch.now_us - server.weight_cut_at_us >= FEEDBACK_DELAY_US:
            server.weight_cut_at_us = self.batch.now_us
            server.weight = max(MIN_WEIGHT, server.weight * WEIGHT_CUT_FACTOR)

    def record_reachable(self, server: Server) -> None:
        """Records that the server was reached, which shows that the link to its zone works."""
        self._record_evidence(server, is_reachable=True)

    def record_unreachable(self, server: Server) -> None:
        """Records a failed connection. A second one in a row ejects the server for a time that doubles."""
        self._record_evidence(server, is_reachable=False)
        self.index.add_suspect(server)
        server.consecutive_failures = min(server.consecutive_failures + 1, MAX_FAILURES)
        is_outlier = server.consecutive_failures >= FAILURES_TO_EJECT
        if is_outlier and not self.domains.is_partitioned(server.zone):
            ejection_us = FIRST_EJECTION_US * 2**server.consecutive_failures
            jitter = 0.75 + self.rng.random() / 2
            server.ejected_until_us = self.batch.now_us + int(ejection_us * jitter)
        self.cut_weight(server)

    def update_failure_domains(self) -> None:
        """Evaluates the failure domains, and ends the ejections in each domain that changed.

        Failures during a partition are the link's, not the servers'.
        """
        for zone in self.domains.evaluate(self.batch.now_us):
            for server in self.servers.values():
                if server.zone == zone:
                    server.clear_failures()

    def _record_evidence(self, server: Server, is_reachable: bool) -> None:
        if server.zone != self.settings.zone:
            self.domains.record(server.zone, server.server_id, is_reachable)
