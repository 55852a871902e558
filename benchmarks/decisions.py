"""CPU time of routing decisions per request, for a fixed pseudorandom stream of events."""

from __future__ import annotations

import heapq
import random
import time

from glenrock.routing import Balancer, interface

STEP_US = 5_000
STEPS_PER_RUN = 12_000
RUNS = 5
REQUEST_DEADLINE_US = 1_500_000
SETTINGS = interface.Settings(
    classes=(interface.RequestClass("r", 300_000, REQUEST_DEADLINE_US, 60_000),),
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
    """Generates the events of clients, of timers and of servers that answer at once, and feeds them to a Balancer."""

    def __init__(self) -> None:
        self.rng = random.Random(3)
        self.now_us = 1_000_000
        self.request_count = 0
        self.decision_cpu_s = 0.0
        self.timers: list[tuple[int, int]] = []
        self.connections: list[tuple[str, str]] = []
        endpoints = tuple(
            interface.Endpoint(f"10.0.0.{n}:1", interface.EndpointState.READY, "ab"[n % 2]) for n in range(40)
        )
        self.events: list[interface.Event] = [interface.EndpointList(interface.EndpointListKind.FULL, endpoints)]
        self.balancer = Balancer(SETTINGS, 1)

    def add_events(self) -> None:
        """Adds the new requests, the due timers and the ended connections of a step to the pending events."""
        for _ in range(self.rng.choice((0, 0, 1, 2))):
            self.request_count += 1
            group = self.rng.choice((None, None, self.request_count % 50))
            deadline_us = self.now_us + REQUEST_DEADLINE_US
            key = self.request_count % 5000
            self.events.append(interface.Request(f"r{self.request_count}", "r", deadline_us, key, group))
        while self.timers and self.timers[0][0] <= self.now_us:
            self.events.append(interface.TimerFired(heapq.heappop(self.timers)[1]))
        if self.connections and self.rng.random() < 0.4:
            index = self.rng.randrange(len(self.connections))
            request_id, server_id = self.connections[index]
            self.connections[index] = self.connections[-1]
            self.connections.pop()
            self.events.append(
                interface.AttemptEnded(request_id, 0, server_id, interface.AttemptOutcome.SERVED, is_final=True)
            )

    def apply(self, action: interface.Action) -> None:
        """Applies an action of the Balancer; the events that result are handled in the next step."""
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
        """Handles the pending events, and adds the CPU time spent in the Balancer to `decision_cpu_s`."""
        self.now_us += STEP_US
        self.add_events()
        events, self.events = self.events, []
        start_cpu_s = time.process_time()
        actions = self.balancer.handle(self.now_us, events)
        self.decision_cpu_s += time.process_time() - start_cpu_s
        for action in actions:
            self.apply(action)


def run_stream() -> tuple[float, int, int]:
    """Returns the CPU seconds of the decisions, the number of requests and that of connections open at the end."""
    stream = EventStream()
    for _ in range(STEPS_PER_RUN):
        stream.step()
    return stream.decision_cpu_s, stream.request_count, len(stream.connections)


def main() -> None:
    """Prints the CPU time per request of the fastest run."""
    cpu_s, requests, connections = min(run_stream() for _ in range(RUNS))
    print(f"{requests} requests, {connections} open connections: {cpu_s / requests * 1e6:.1f} us CPU per request")


if __name__ == "__main__":
    main()
