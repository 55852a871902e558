"""Processor time of the decisions: one stream of events through a Balancer, the same in every run."""

from __future__ import annotations

import heapq
import random
import time

from glenrock.routing import Balancer, interface

STEP_US = 5_000
STEPS = 12_000
RUNS = 5
LIFE_US = 1_500_000
SETTINGS = interface.Settings(
    classes=(interface.RequestClass("r", 300_000, LIFE_US, 60_000),),
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


class EventStream:
    """Clients, servers that answer at once, and timers."""

    def __init__(self) -> None:
        self.rng = random.Random(3)
        self.now_us = 1_000_000
        self.request_count = 0
        self.spent_s = 0.0
        self.timers: list[tuple[int, int]] = []
        self.connections: list[tuple[str, str]] = []
        rows = tuple(interface.Endpoint(f"10.0.0.{n}:1", interface.EndpointState.READY, "ab"[n % 2]) for n in range(40))
        self.events: list[interface.Event] = [interface.EndpointList(interface.EndpointListKind.FULL, rows)]
        self.balancer = Balancer(SETTINGS, 1)

    def add_events(self) -> None:
        """Adds the requests, the due timers and the ended connections of a step."""
        for _ in range(self.rng.choice((0, 0, 1, 2))):
            self.request_count += 1
            group = self.rng.choice((None, None, self.request_count % 50))
            deadline_us = self.now_us + LIFE_US
            key = self.request_count % 5000
            self.events.append(interface.Request(f"r{self.request_count}", "r", deadline_us, key, group))
        while self.timers and self.timers[0][0] <= self.now_us:
            self.events.append(interface.TimerFired(heapq.heappop(self.timers)[1]))
        if self.connections and self.rng.random() < 0.4:
            n = self.rng.randrange(len(self.connections))
            request_id, server = self.connections[n]
            self.connections[n] = self.connections[-1]
            self.connections.pop()
            self.events.append(
                interface.AttemptEnded(request_id, 0, server, interface.AttemptOutcome.SERVED, is_final=True)
            )

    def carry_out(self, action: interface.Action) -> None:
        """Adds the event that answers an action."""
        if isinstance(action, interface.SetTimer):
            heapq.heappush(self.timers, (action.at_us, action.timer_id))
        elif isinstance(action, interface.StartAttempt):
            self.events.append(interface.ConnectionEstablished(action.request_id, 0, action.server_id, 9000))
            self.connections.append((action.request_id, action.server_id))
        elif isinstance(action, interface.SendHealthCheck):
            report = {"load_ratio": 0.3 + 0.4 * self.rng.random()}
            result = interface.HealthCheckResult(action.server_id, interface.AttemptOutcome.SERVED, 900, report)
            self.events.append(result)

    def step(self) -> None:
        """Handles the events of one step, and measures the time spent in the Balancer."""
        self.now_us += STEP_US
        self.add_events()
        events, self.events = self.events, []
        start_s = time.process_time()
        actions = self.balancer.handle(self.now_us, events)
        self.spent_s += time.process_time() - start_s
        for action in actions:
            self.carry_out(action)


def run_stream() -> tuple[float, int, int]:
    """Returns the seconds spent, the number of requests, and that of open connections at the end."""
    stream = EventStream()
    for _ in range(STEPS):
        stream.step()
    return stream.spent_s, stream.request_count, len(stream.connections)


def main() -> None:
    """Prints the processor time per request, of the fastest run."""
    spent_s, requests, connections = min(run_stream() for _ in range(RUNS))
    print(f"{requests} requests, {connections} standing: {spent_s / requests * 1e6:.1f} us a request")


if __name__ == "__main__":
    main()
