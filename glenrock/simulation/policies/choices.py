"""Well-known selection algorithms, as reference policies."""

from __future__ import annotations

from glenrock.routing import interface

from .simple import KnownServer, PendingRequest, ReferencePolicy

HEALTH_CHECKS_PER_ROUND = 4
FRESH_REPORT_US = 5_000_000  # maximum age of a load report that is used
IDLE_LOAD = 0.2  # a server that reports a lower load counts as idle
ASSUMED_LOAD = 0.5  # load of a server without a load report
MIN_FREE_CAPACITY = 0.02  # lower bound of a weight, so that a full server is still drawn


class Random(ReferencePolicy):
    """Draws any ready server with equal probability."""

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Draws one of the candidates."""
        return self.draw_server(candidates)


class RoundRobin(ReferencePolicy):
    """Selects the servers in turn, starting from a random one."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.selections = self.random.randrange(1 << 30)

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Selects the next candidate."""
        self.selections += 1
        return candidates[self.selections % len(candidates)]


class LeastConnections(ReferencePolicy):
    """Selects a server to which this balancer has the fewest connections and attempts."""

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Draws one of the candidates with the fewest connections and attempts."""
        fewest = min(server.active_attempts for server in candidates)
        return self.draw_server([server for server in candidates if server.active_attempts == fewest])


class TwoChoices(ReferencePolicy):
    """Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001."""

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Draws two candidates, and selects the one with fewer connections and attempts of this balancer."""
        first, second = self.draw_server(candidates), self.draw_server(candidates)
        return second if second.active_attempts < first.active_attempts else first


def reported_load(server: KnownServer) -> float:
    """Returns the load that a server has reported, as a fraction of its capacity."""
    return server.report.get(interface.LOAD_RATIO, server.report.get(interface.UTILIZATION, ASSUMED_LOAD))


class HealthCheckingPolicy(ReferencePolicy):
    """Sends health checks to a few servers in each round, those with the oldest load report first."""

    def on_round(self) -> None:
        """Sends the health checks of a round."""
        for server in sorted(self.ready, key=lambda server: server.report_at_us)[:HEALTH_CHECKS_PER_ROUND]:
            self.send_health_check(server)


class WeightedRandom(HealthCheckingPolicy):
    """Draws in proportion to reported free capacity; assumes `ASSUMED_LOAD` where a server has no fresh report."""

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Draws one of the candidates, in proportion to free capacity."""
        return self.random.choices(candidates, [self._free_capacity(server) for server in candidates])[0]

    def _free_capacity(self, server: KnownServer) -> float:
        if self.now_us - server.report_at_us >= FRESH_REPORT_US:
            return 1 - ASSUMED_LOAD
        return max(MIN_FREE_CAPACITY, 1 - reported_load(server))


class JoinIdle(HealthCheckingPolicy):
    """Lu et al., Join-Idle-Queue, 2011: a balancer queues the servers that a health check found idle."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.idle: dict[str, None] = {}

    def on_report(self, server: KnownServer, latency_us: int) -> None:
        """Adds a server to the queue if it is idle, else removes it."""
        if reported_load(server) < IDLE_LOAD and server.is_ready:
            self.idle[server.id] = None
        else:
            self.idle.pop(server.id, None)

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Selects the candidate that was queued as idle first, or draws one if the queue has none."""
        if not self.settings.may_health_check:
            unused = [server for server in candidates if not server.active_attempts]
            return self.draw_server(unused or candidates)
        for id_ in list(self.idle):
            server = self.servers[id_]
            del self.idle[id_]
            if server in candidates:
                return server
        return self.draw_server(candidates)
