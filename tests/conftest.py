"""Fixtures of all tests: settings, and a harness that drives one balancer in simulated time."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from known_red import (  # noqa: F401 - hooks
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_sessionfinish,
    pytest_terminal_summary,
    pytest_testnodedown,
)

from glenrock.routing import Balancer, interface

T0 = 5_000_000_000
"""Start of simulated time, in microseconds."""
SECOND = 1_000_000


def settings(**over) -> interface.Settings:
    """Returns settings of four balancers with one class; `over` replaces fields."""
    base = dict(
        classes=(interface.RequestClass("read", 300_000, 1_000_000, 60_000),),
        balancers=4,
        tick_us=4000,
        max_attempts=4,
        may_cancel=True,
        may_gossip=True,
        max_retry_after_us=2 * SECOND,
    )
    base.update(over)
    return interface.Settings(**base)


class Harness:
    """Drives one balancer: delivers events, fires due timers, records the actions.

    Attributes:
        now_us: simulated time.
        timers: pending timers, as (time, reference).
        action_log: all actions, each with its time.
    """

    def __init__(self, harness_settings: interface.Settings, seed: int = 1) -> None:
        self.settings = harness_settings
        self.balancer = Balancer(harness_settings, seed)
        self.now_us = T0
        self.timers: list[tuple[int, int]] = []
        self.action_log: list[tuple[int, interface.Action]] = []
        self._request_count = 0

    def deliver(self, *events: interface.Event) -> list[interface.Action]:
        """Delivers one batch of events. Returns the actions."""
        actions = self.balancer.handle(self.now_us, list(events))
        for action in actions:
            self.action_log.append((self.now_us, action))
            if isinstance(action, interface.SetTimer):
                self.timers.append((action.at_us, action.timer_id))
        return actions

    def advance(self, duration_us: int) -> list[interface.Action]:
        """Advances time, firing due timers. Returns the actions."""
        end_us = self.now_us + duration_us
        actions: list[interface.Action] = []
        while True:
            due = min(self.timers, default=None)
            if due is None or due[0] > end_us:
                break
            self.timers.remove(due)
            self.now_us = max(self.now_us, due[0])
            actions += self.deliver(interface.TimerFired(due[1]))
        self.now_us = end_us
        return actions

    def list_servers(
        self, *names: str, kind: interface.EndpointListKind = interface.EndpointListKind.FULL, **over
    ) -> list[interface.Action]:
        """Delivers an endpoint list of these servers; `over` has further fields of each row."""
        return self.deliver(interface.EndpointList(kind, tuple(interface.Endpoint(name, **over) for name in names)))

    def send_request(self, key: int | None = None, life_us: int = SECOND, **over) -> str:
        """Delivers a request with a deadline in `life_us`. Returns its id."""
        self._request_count += 1
        request_id = f"r{self._request_count}"
        over.setdefault("service", "read")
        self.deliver(interface.Request(request_id, deadline_us=self.now_us + life_us, key=key, **over))
        return request_id

    def actions_for(self, request_id: str) -> list[interface.Action]:
        """Returns all actions on that request so far."""
        return [action for _, action in self.action_log if getattr(action, "request_id", None) == request_id]

    def attempts_of(self, request_id: str) -> list[interface.StartAttempt]:
        """Returns the attempts of that request so far."""
        return [action for action in self.actions_for(request_id) if isinstance(action, interface.StartAttempt)]

    def establish(self, request_id: str) -> None:
        """Establishes the request's last attempt."""
        attempts = self.attempts_of(request_id)
        self.deliver(interface.ConnectionEstablished(request_id, len(attempts) - 1, attempts[-1].server_id, 1000))

    def end_attempt(self, request_id: str, outcome: interface.AttemptOutcome, is_final: bool = False) -> None:
        """Ends the request's last attempt, or its connection."""
        attempts = self.attempts_of(request_id)
        last = len(attempts) - 1
        self.deliver(interface.AttemptEnded(request_id, last, attempts[-1].server_id, outcome, is_final, 1000))


@pytest.fixture
def make_harness() -> Callable[..., Harness]:
    """Returns a function that builds a harness with listed servers."""

    def build(seed: int = 1, names=("a:1", "b:1", "c:1"), **over) -> Harness:
        harness = Harness(settings(**over), seed)
        harness.list_servers(*names)
        return harness

    return build
