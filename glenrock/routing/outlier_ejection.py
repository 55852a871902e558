"""Outlier ejection: server weights, temporary ejection of unreachable servers, and panic mode.

A server's weight rises additively while it reports less than the mean load, and is cut multiplicatively when
it is overloaded or fails (AIMD). In panic mode, which starts when no ready server is usable, ejections are
ignored.
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
OUTLIER_RATIO = 1.2  # of the mean load; above it, a server is more loaded than the rest of the fleet
FAILURES_TO_EJECT = 2  # consecutive failures
MAX_FAILURES = 6  # consecutive failures; further ones do not extend the ejection
BASE_EJECTION_US = SECOND_US / 4  # doubled for each consecutive failure, so the first ejection is about 1 s


@dataclass(eq=False)
class OutlierEjection:
    """Decides which servers may receive new work.

    Attributes:
        is_panicking: panic mode is on: no ready server is usable, so ejections of servers and zones are
            ignored.
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
        """Returns whether the server may receive new work of that load now.

        Conditions that depend on the request are not checked here. A server that is draining, or suspended by
        an operator, is not ready and receives no new work: a drain allows no attempt after its notice.
        """
        is_allowed = server.is_ready and (self.is_usable(server) or self.is_panicking)
        return is_allowed and self.slow_start.headroom(server) >= load

    def is_usable(self, server: Server) -> bool:
        """Returns whether neither the server nor its failure domain is ejected."""
        now_us = self.batch.now_us
        return now_us >= server.ejected_until_us and self.domains.may_use(now_us, server.zone, server.hash)

    def reachable_servers(self) -> list[Server]:
        """Returns the ready servers that have not failed recently and whose failure domain may be used."""
        now_us = self.batch.now_us
        found = self.index.ready_without_suspects(now_us)
        if self.domains.has_restrictions(now_us):
            return [server for server in found if self.domains.may_use(now_us, server.zone, server.hash)]
        return found

    def update_panic(self) -> None:
        """Enters panic mode if no ready server is usable, and leaves it otherwise.

        If all servers or zones are ejected, trying an ejected server is better than sending no request at all
        for several seconds.
        """
        self.is_panicking = not any(self.is_usable(server) for server in self.index.ready)

    def record_load(self, server: Server, load: float) -> None:
        """Records a reported load, and cuts or raises the server's weight.

        The load is compared with the mean load of the fleet: if all servers are equally overloaded, the
        admission cap is cut instead of the weights.
        """
        self.loads.record_report(server, load)
        if load > max(load_targets.HIGH_LOAD, OUTLIER_RATIO * self.loads.fleet_load):
            self.cut_weight(server)
        elif load < self.loads.fleet_load:
            server.weight = min(MAX_WEIGHT, server.weight + WEIGHT_RISE)

    def record_report(self, server: Server, report: dict[str, float]) -> None:
        """Records the load that a load report states, if it states one."""
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
        """Records a failed connection, and ejects the server after `FAILURES_TO_EJECT` consecutive failures.

        Each further failure doubles the ejection time. A server in a partitioned zone is not ejected by
        itself, since its whole zone receives no new work.
        """
        self._record_evidence(server, is_reachable=False)
        self.index.add_suspect(server)
        server.consecutive_failures = min(server.consecutive_failures + 1, MAX_FAILURES)
        must_eject = server.consecutive_failures >= FAILURES_TO_EJECT
        if must_eject and not self.domains.is_partitioned(server.zone):
            ejection_us = BASE_EJECTION_US * 2**server.consecutive_failures
            jitter = 0.75 + self.rng.random() / 2
            server.ejected_until_us = self.batch.now_us + int(ejection_us * jitter)
        self.cut_weight(server)

    def update_failure_domains(self) -> None:
        """Evaluates the failure domains, and clears the failures of all servers in each domain that changed.

        Failures during a partition are caused by the link, not by the servers.
        """
        for zone in self.domains.evaluate(self.batch.now_us):
            for server in self.servers.values():
                if server.zone == zone:
                    server.clear_failures()

    def _record_evidence(self, server: Server, is_reachable: bool) -> None:
        if server.zone != self.settings.zone:
            self.domains.record(server.zone, server.server_id, is_reachable)
