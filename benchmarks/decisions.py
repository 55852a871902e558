"""Cost of a decision: one stream of events through a Balancer, the same in every run, by processor time."""

from __future__ import annotations

import heapq
import random
import time

from glenrock.routing import Balancer, interface

STEP_US = 5_000
STEPS = 12_000
SETTINGS = interface.Settings(
    classes=(interface.RequestClass("r", 300_000, 1_500_000, 60_000),),
    balancers=3,
    zone="a",
    max_attempts=4,
    may_health_check=True,
    may_gossip=True,
    may_cancel=True,
    load_report_fields=("load_ratio",),
    has_message_delay_reports=True,
    cross_zone_cost=0.02,
    health_check_cost=0.002,
)


class Stream:
    """Clients, servers that answer at once, and timers."""

    def __init__(self) -> None:
        self.rng, self.now, self.requests, self.spent_s = random.Random(3), 1_000_000, 0, 0.0
        self.timers: list[tuple[int, int]] = []
        self.standing: list[tuple[str, str]] = []
        self.events: list[interface.Event] = [
            interface.EndpointList(
                "full", tuple(interface.Endpoint(f"10.0.0.{n}:1", "ready", "ab"[n % 2]) for n in range(40))
            )
        ]
        self.balancer = Balancer(SETTINGS, 1)

    def arrive(self) -> None:
        for _ in range(self.rng.choice((0, 0, 1, 2))):
            self.requests += 1
            group = self.rng.choice((None, None, self.requests % 50))
            self.events.append(
                interface.Request(f"r{self.requests}", "r", self.now + 1_500_000, self.requests % 5000, group)
            )
        while self.timers and self.timers[0][0] <= self.now:
            self.events.append(interface.TimerFired(heapq.heappop(self.timers)[1]))
        if self.standing and self.rng.random() < 0.4:
            n = self.rng.randrange(len(self.standing))
            id_, server = self.standing[n]
            self.standing[n] = self.standing[-1]
            self.standing.pop()
            self.events.append(interface.AttemptEnded(id_, 0, server, "served", True))

    def answer(self, action: interface.Action) -> None:
        if isinstance(action, interface.SetTimer):
            heapq.heappush(self.timers, (action.at_us, action.ref))
        elif isinstance(action, interface.StartAttempt):
            self.events.append(interface.ConnectionEstablished(action.id, 0, action.server, 9000))
            self.standing.append((action.id, action.server))
        elif isinstance(action, interface.SendHealthCheck):
            report = {"load_ratio": 0.3 + 0.4 * self.rng.random()}
            self.events.append(interface.HealthCheckResult(action.server, "served", 900, report))

    def step(self) -> None:
        self.now += STEP_US
        self.arrive()
        events, self.events = self.events, []
        begun = time.process_time()
        actions = self.balancer.handle(self.now, events)
        self.spent_s += time.process_time() - begun
        for action in actions:
            self.answer(action)


def played() -> tuple[float, int, int]:
    """Seconds spent, requests, and connections that stand at the end."""
    stream = Stream()
    for _ in range(STEPS):
        stream.step()
    return stream.spent_s, stream.requests, len(stream.standing)


def main() -> None:
    spent, requests, standing = min(played() for _ in range(5))
    print(f"{requests} requests, {standing} standing: {spent / requests * 1e6:.1f} us a request")


if __name__ == "__main__":
    main()
