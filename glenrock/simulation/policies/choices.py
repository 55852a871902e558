"""The textbook's choices of a server, each a few lines over what they share."""

from __future__ import annotations

from glenrock.routing import interface

from .simple import Asked, Known, Simple

PROBES_A_ROUND = 4  # of the reporting ones: each half second, the longest unheard
FRESH_US = 5_000_000
IDLE = 0.2  # load below which a server counts as idle where it reports one


class Random(Simple):
    def pick(self, f: Asked, among: list[Known]) -> Known:
        return self.some(among)


class RoundRobin(Simple):
    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.turn = self.rng.randrange(1 << 30)

    def pick(self, f: Asked, among: list[Known]) -> Known:
        self.turn += 1
        return among[self.turn % len(among)]


class Least(Simple):
    def pick(self, f: Asked, among: list[Known]) -> Known:
        fewest = min(s.mine for s in among)
        return self.some([s for s in among if s.mine == fewest])


class TwoChoices(Simple):
    """Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001."""

    def pick(self, f: Asked, among: list[Known]) -> Known:
        a, b = self.some(among), self.some(among)
        return b if b.mine < a.mine else a


def load_of(s: Known) -> float:
    return s.report.get(interface.LOAD_RATIO, s.report.get(interface.UTILIZATION, 0.5))


class Reporting(Simple):
    """Asks a few servers each half second, the longest unheard first."""

    def on_round(self) -> None:
        for s in sorted(self.ready, key=lambda s: s.report_at)[:PROBES_A_ROUND]:
            self.probe(s)


class Weighted(Reporting):
    """Drawn in proportion to the room that the last report showed; one that is silent counts as half full."""

    def pick(self, f: Asked, among: list[Known]) -> Known:
        rooms = [max(0.02, 1 - load_of(s)) if self.now - s.report_at < FRESH_US else 0.5 for s in among]
        return self.rng.choices(among, rooms)[0]


class JoinIdle(Reporting):
    """Lu et al., Join-Idle-Queue, 2011: idle servers wait in a queue at the balancer that heard of it."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.idle: dict[str, None] = {}

    def on_report(self, s: Known, latency_us: int) -> None:
        if load_of(s) < IDLE and s.ready:
            self.idle[s.id] = None
        else:
            self.idle.pop(s.id, None)

    def pick(self, f: Asked, among: list[Known]) -> Known:
        if not self.set.may_health_check:
            empty = [s for s in among if not s.mine]
            return self.some(empty or among)
        for id_ in list(self.idle):
            s = self.servers[id_]
            del self.idle[id_]
            if s in among:
                return s
        return self.some(among)
