"""Small days for tests, built from plain tables."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from glenrock import toml_file
from glenrock.routing import interface
from glenrock.simulation import spec
from glenrock.simulation.fleet_simulation import FleetSimulation
from glenrock.simulation.model.balancer import Policy, PolicyFailedError
from glenrock.toml_file import InputFileError

SMALL: dict[str, Any] = {
    "name": "small",
    "length_s": 12.0,
    "drain_s": 4.0,
    "fleet": {"balancers": 2, "instances": 4},
    "traffic": {"life_s": 8.0, "connections_per_core": 8.0, "load": 0.3},
    "classes": [{"name": "lookup", "worth": 5.0}, {"name": "browse", "load": 2.0, "life": 0.5}],
    "tenants": [{"name": "one", "share": 2.0}, {"name": "two"}],
}
PolicyFactory = Callable[[interface.Settings, int], Policy]
PATH = Path("experiment.toml")


def experiment(**over: Any) -> spec.Experiment:
    found = toml_file.convert(PATH, "", spec.merge(SMALL, over), spec.Experiment)
    spec.check(found, PATH, "")
    return found


def day(seed: int = 1, policy: str = "random", make: PolicyFactory | None = None, **over: Any) -> FleetSimulation:
    return FleetSimulation(experiment(**over), seed, policy, make_policy=make)


class Scripted:
    """Takes every request to the first server that is ready, and lets a test put its hand in."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.set, self.now, self.ready = settings, 0, {}
        self.events: list[interface.Event] = []

    def handle(self, now_us: int, events: list[interface.Event]) -> list[interface.Action]:
        self.now = now_us
        out: list[interface.Action] = []
        for e in events:
            self.events.append(e)
            out += self.on(e)
        return out

    def on(self, e: interface.Event) -> list[interface.Action]:
        if isinstance(e, interface.EndpointList):
            if e.kind in ("full", "remembered"):
                self.ready = {}
            for x in e.entries:
                self.ready[x.server_id] = x.state == "ready"
        if isinstance(e, interface.Request):
            return self.on_request(e)
        if isinstance(e, interface.AttemptEnded) and not e.is_final:
            return [interface.Fail(e.request_id)]
        return []

    def first(self) -> str:
        return next((s for s, ready in self.ready.items() if ready), next(iter(self.ready)))

    def on_request(self, e: interface.Request) -> list[interface.Action]:
        return [interface.StartAttempt(e.request_id, self.first(), e.deadline_us - self.now - 10_000)]


__all__ = ["InputFileError", "FleetSimulation", "PATH", "PolicyFailedError", "Scripted", "SMALL", "day", "experiment"]
