"""Which servers get less, or nothing: weights, ejection of those that fail, and is_panicking mode.

Weights rise additively and are cut multiplicatively (AIMD).
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

WEIGHT_CUT_FACTOR, WEIGHT_RISE, MIN_WEIGHT = 0.7, 0.05, 0.05
OUTLIER_RATIO = 1.2  # a server is loaded for itself above this multiple of the mean load
FAILURES_TO_EJECT, MAX_FAILURES = 2, 6  # in a row; past the second number the time grows no more
FIRST_EJECTION_US = SECOND_US / 4  # doubled for each failure in a row


@dataclass(eq=False)
class OutlierEjection:
    """Decides which servers may receive new work; in panic mode, ejection is ignored."""

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
        """The one place that says whether a server may be sent new work now.

        A send after a drain notice would break the drain; so nothing goes there once it is known.
        """
        usable = server.ready and (self.is_usable(server) or self.is_panicking)
        return usable and self.slow_start.headroom(server) >= load

    def is_usable(self, server: Server) -> bool:
        """Whether neither the server is ejected, nor its failure domain."""
        now_us = self.batch.now_us
        return now_us >= server.ejected_until_us and self.domains.may_use(now_us, server.zone, server.hash)

    def servers_in_reach(self) -> list[Server]:
        """Ready servers without a failure held against them, in domains that may be used."""
        now_us = self.batch.now_us
        found = self.index.ready_without_suspects(now_us)
        if self.domains.restricts(now_us):
            return [server for server in found if self.domains.may_use(now_us, server.zone, server.hash)]
        return found

    def update_panic(self) -> None:
        """Where all are ejected nobody would be tried again for seconds: all is as good as none."""
        usable = any(self.is_usable(server) for server in self.index.ready)
        self.is_panicking = not usable

    def record_load(self, server: Server, load: float) -> None:
        """A load report. Weights go by the mean: when all are slow alike, the cap has to fall instead."""
        self.loads.record_report(server, load)
        if load > max(load_targets.HIGH_LOAD, OUTLIER_RATIO * self.loads.fleet_load):
            self.cut_weight(server)
        elif load < self.loads.fleet_load:
            server.weight = min(MAX_WEIGHT, server.weight + WEIGHT_RISE)

    def record_report(self, server: Server, report: dict[str, float]) -> None:
        """A report that may tell a load."""
        load = load_of_report(report)
        if load is not None:
            self.record_load(server, load)

    def cut_weight(self, server: Server) -> None:
        """One cut per feedback delay."""
        if self.batch.now_us - server.weight_cut_us >= FEEDBACK_DELAY_US:
            server.weight_cut_us = self.batch.now_us
            server.weight = max(MIN_WEIGHT, server.weight * WEIGHT_CUT_FACTOR)

    def record_reachable(self, server: Server) -> None:
        """The server answered: evidence that the link to its zone is whole."""
        self._record_evidence(server, answered=True)

    def record_unreachable(self, server: Server) -> None:
        """Out of reach twice in a row: ejected for a time that doubles, then tried again."""
        self._record_evidence(server, answered=False)
        self.index.add_suspect(server)
        server.consecutive_failures = min(server.consecutive_failures + 1, MAX_FAILURES)
        ejected = server.consecutive_failures >= FAILURES_TO_EJECT
        if ejected and not self.domains.is_partitioned(server.zone):
            ejection_us = FIRST_EJECTION_US * 2**server.consecutive_failures
            jitter = 0.75 + self.rng.random() / 2
            server.ejected_until_us = self.batch.now_us + int(ejection_us * jitter)
        self.cut_weight(server)

    def update_failure_domains(self) -> None:
        """What failed there is the link, and no server: none is ejected for it once the link is whole."""
        for zone in self.domains.evaluate(self.batch.now_us):
            for server in self.servers.values():
                if server.zone == zone:
                    server.consecutive_failures = server.ejected_until_us = 0

    def _record_evidence(self, server: Server, answered: bool) -> None:
        if server.zone != self.settings.zone:
            self.domains.record(server.zone, server.id, answered)
