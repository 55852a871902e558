from __future__ import annotations

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
SECOND = 1_000_000


def settings(**over) -> interface.Settings:
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
    """Drives one balancer by hand: delivers events, fires due timers, keeps what was done."""

    def __init__(self, s: interface.Settings, seed: int = 1) -> None:
        self.settings, self.b, self.now = s, Balancer(s, seed), T0
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple[int, interface.Action]] = []
        self.count = 0

    def give(self, *events: interface.Event) -> list[interface.Action]:
        out = self.b.handle(self.now, list(events))
        for a in out:
            self.log.append((self.now, a))
            if isinstance(a, interface.SetTimer):
                self.timers.append((a.at_us, a.ref))
        return out

    def run(self, us: int) -> list[interface.Action]:
        end, out = self.now + us, []
        while True:
            due = min(self.timers, default=None)
            if due is None or due[0] > end:
                break
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            out += self.give(interface.TimerFired(due[1]))
        self.now = end
        return out

    def servers(self, *names: str, kind: str = "full", **over) -> list[interface.Action]:
        return self.give(interface.EndpointList(kind, tuple(interface.Endpoint(n, **over) for n in names)))

    def request(self, key: int | None = None, life_us: int = SECOND, **over) -> str:
        self.count += 1
        name = f"r{self.count}"
        over.setdefault("service", "read")
        self.give(interface.Request(name, deadline_us=self.now + life_us, key=key, **over))
        return name

    def done(self, name: str) -> list[interface.Action]:
        return [a for _, a in self.log if getattr(a, "id", None) == name]

    def sends(self, name: str) -> list[interface.StartAttempt]:
        return [a for a in self.done(name) if isinstance(a, interface.StartAttempt)]

    def start(self, name: str) -> None:
        sent = self.sends(name)
        self.give(interface.ConnectionEstablished(name, len(sent) - 1, sent[-1].server, 1000))

    def end(self, name: str, verdict: str, done: bool = False) -> None:
        sent = self.sends(name)
        self.give(interface.AttemptEnded(name, len(sent) - 1, sent[-1].server, verdict, done, 1000))


@pytest.fixture
def make():
    def build(seed: int = 1, names=("a:1", "b:1", "c:1"), **over) -> Harness:
        h = Harness(settings(**over), seed)
        h.servers(*names)
        return h

    return build
