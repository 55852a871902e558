"""Fixtures for all tests: settings, and a harness that drives one balancer in simulated time."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, NamedTuple

import pytest
from known_red import (  # noqa: F401 - hooks
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_sessionfinish,
    pytest_terminal_summary,
    pytest_testnodedown,
)

from glenrock.routing import Balancer, interface

START_US = 5_000_000_000
"""Start of simulated time, in microseconds."""

SECOND = 1_000_000
"""A second in microseconds, the unit of simulated time."""

BASE_SETTINGS = interface.Settings(
    classes=(interface.RequestClass("read", 300_000, 1_000_000, 60_000),),
    balancers=4,
    tick_us=4000,
    max_attempts=4,
    may_cancel=True,
    may_gossip=True,
    max_retry_after_us=2 * SECOND,
)


def settings(**fields: Any) -> interface.Settings:
    """Returns `BASE_SETTINGS`, four balancers and one class, with these `fields` replaced."""
    return replace(BASE_SETTINGS, **fields)


class PendingTimer(NamedTuple):
    """A timer that was set and has not fired."""

    at_us: int
    timer_id: int


class LoggedAction(NamedTuple):
    """An action, with the time of the batch that returned it."""

    at_us: int
    action: interface.Action


class Harness:
    """Drives one balancer: delivers events, fires due timers, and records the actions.

    Attributes:
        settings: settings of the balancer.
        balancer: the balancer under test.
        now_us: simulated time.
        timers: pending timers.
        action_log: all actions so far, in order.
    """

    def __init__(self, balancer_settings: interface.Settings, seed: int = 1) -> None:
        self.settings = balancer_settings
        self.balancer = Balancer(balancer_settings, seed)
        self.now_us = START_US
        self.timers: list[PendingTimer] = []
        self.action_log: list[LoggedAction] = []
        self._request_count = 0

    def deliver(self, *events: interface.Event) -> list[interface.Action]:
        """Delivers one batch of events. Returns the resulting actions."""
        actions = self.balancer.handle(self.now_us, list(events))
        for action in actions:
            self.action_log.append(LoggedAction(self.now_us, action))
            if isinstance(action, interface.SetTimer):
                self.timers.append(PendingTimer(action.at_us, action.timer_id))
        return actions

    def advance(self, duration_us: int) -> list[interface.Action]:
        """Advances simulated time, and fires the timers that expire. Returns the resulting actions."""
        end_us = self.now_us + duration_us
        actions: list[interface.Action] = []
        while True:
            due = min(self.timers, default=None)
            if due is None or due.at_us > end_us:
                break
            self.timers.remove(due)
            self.now_us = max(self.now_us, due.at_us)
            actions += self.deliver(interface.TimerFired(due.timer_id))
        self.now_us = end_us
        return actions

    def list_servers(
        self, *names: str, kind: interface.EndpointListKind = interface.EndpointListKind.FULL, **fields: Any
    ) -> list[interface.Action]:
        """Delivers an endpoint list of the named servers. Returns the resulting actions.

        Args:
            names: ids of the servers.
            kind: kind of the list.
            fields: further fields of each `interface.Endpoint`.
        """
        return self.deliver(interface.EndpointList(kind, tuple(interface.Endpoint(name, **fields) for name in names)))

    def send_request(self, key: int | None = None, deadline_in_us: int = SECOND, **fields: Any) -> str:
        """Delivers a request whose deadline is `deadline_in_us` from now. Returns its id.

        Args:
            key: identity of the client; None for none.
            deadline_in_us: time from now to the deadline.
            fields: further fields of `interface.Request`.
        """
        self._request_count += 1
        request_id = f"r{self._request_count}"
        fields.setdefault("class_name", "read")
        self.deliver(interface.Request(request_id, deadline_us=self.now_us + deadline_in_us, key=key, **fields))
        return request_id

    def actions_for(self, request_id: str) -> list[interface.Action]:
        """Returns all actions on the request so far, in order."""
        return [action for _, action in self.action_log if getattr(action, "request_id", None) == request_id]

    def attempts_of(self, request_id: str) -> list[interface.StartAttempt]:
        """Returns the attempts of the request so far, in order."""
        return [action for action in self.actions_for(request_id) if isinstance(action, interface.StartAttempt)]

    def establish(self, request_id: str) -> None:
        """Delivers the event that the request's last attempt established its connection."""
        attempts = self.attempts_of(request_id)
        self.deliver(interface.ConnectionEstablished(request_id, len(attempts) - 1, attempts[-1].server_id, 1000))

    def end_attempt(self, request_id: str, outcome: interface.AttemptOutcome, is_final: bool = False) -> None:
        """Delivers the event that the request's last attempt, or its connection, ended."""
        attempts = self.attempts_of(request_id)
        last = len(attempts) - 1
        self.deliver(interface.AttemptEnded(request_id, last, attempts[-1].server_id, outcome, is_final, 1000))


HarnessFactory = Callable[..., Harness]
"""A function that builds a harness from a `seed`, the `names` of listed servers, and fields of the settings."""


@pytest.fixture
def make_harness() -> HarnessFactory:
    """Returns a function that builds a harness and delivers the list of its servers."""

    def build(seed: int = 1, names: Sequence[str] = ("a:1", "b:1", "c:1"), **fields: Any) -> Harness:
        harness = Harness(settings(**fields), seed)
        harness.list_servers(*names)
        return harness

    return build
