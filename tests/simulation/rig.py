"""Helpers for tests: a small experiment with overrides, its simulation, and a base class for scripted policies."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from glenrock import toml_file
from glenrock.routing import interface
from glenrock.simulation import spec
from glenrock.simulation.fleet_simulation import FleetSimulation
from glenrock.simulation.model.balancer import BalancerProcess, Policy
from glenrock.simulation.spec_checks import check_experiment
from glenrock.simulation.spec_tables import Experiment

PolicyFactory = Callable[[interface.Settings, int], Policy]
SMALL_EXPERIMENT: dict[str, Any] = {
    "name": "small",
    "length_s": 12.0,
    "drain_s": 4.0,
    "fleet": {"balancers": 2, "instances": 4},
    "traffic": {"life_s": 8.0, "connections_per_core": 8.0, "load": 0.3},
    "classes": [{"name": "lookup", "worth": 5.0}, {"name": "browse", "load": 2.0, "life": 0.5}],
    "tenants": [{"name": "one", "share": 2.0}, {"name": "two"}],
}
EXPERIMENT_PATH = Path("experiment.toml")  # names the experiment in error messages; no such file is read
EXPERIMENTS = Path(__file__).resolve().parents[2] / "experiments"


def small_experiment(**overrides: Any) -> Experiment:
    """Returns the small experiment with overrides, checked like an experiment file."""
    experiment = toml_file.convert(EXPERIMENT_PATH, "", spec.merge(SMALL_EXPERIMENT, overrides), Experiment)
    check_experiment(experiment, EXPERIMENT_PATH, "")
    return experiment


def small_simulation(
    seed: int = 1, policy: str = "random", make_policy: PolicyFactory | None = None, **overrides: Any
) -> FleetSimulation:
    """Returns a simulation of the small experiment, not yet prepared or run."""
    return FleetSimulation(small_experiment(**overrides), seed, policy, make_policy=make_policy)


def run_until(simulation: FleetSimulation, second: float) -> FleetSimulation:
    """Runs a prepared simulation until `second` seconds after its start, and returns it."""
    simulation.engine.run(simulation.start_us + round(second * 1e6))
    return simulation


class ScriptedPolicy:
    """Starts an attempt at the first ready server for each request; tests override its methods.

    Attributes:
        now_us: time of the latest batch.
        ready: whether each server is ready, in the order of the endpoint list.
        events: all events received.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.now_us = 0
        self.ready: dict[str, bool] = {}
        self.events: list[interface.Event] = []

    def handle(self, now_us: int, events: list[interface.Event]) -> list[interface.Action]:
        """Records a batch of events. Returns the actions for each of them."""
        self.now_us = now_us
        actions: list[interface.Action] = []
        for event in events:
            self.events.append(event)
            actions += self.on_event(event)
        return actions

    def on_event(self, event: interface.Event) -> list[interface.Action]:
        """Returns the actions for an event."""
        if isinstance(event, interface.EndpointList):
            if event.kind in (interface.EndpointListKind.FULL, interface.EndpointListKind.CACHED):
                self.ready = {}
            for entry in event.entries:
                self.ready[entry.server_id] = entry.state == interface.EndpointState.READY
        if isinstance(event, interface.Request):
            return self.on_request(event)
        if isinstance(event, interface.AttemptEnded) and not event.is_final:
            return [interface.Fail(event.request_id)]
        return []

    def select_server(self) -> str:
        """Returns the first ready server, or the first one if none is ready."""
        return next((server for server, is_ready in self.ready.items() if is_ready), next(iter(self.ready)))

    def on_request(self, request: interface.Request) -> list[interface.Action]:
        """Returns the actions for a request: an attempt that ends before the request's deadline."""
        timeout_us = request.deadline_us - self.now_us - 10_000
        return [interface.StartAttempt(request.request_id, self.select_server(), timeout_us)]


def events_of(balancer: BalancerProcess) -> list[interface.Event]:
    """Returns the events that a running balancer's scripted policy has received."""
    assert isinstance(balancer.policy, ScriptedPolicy)
    return balancer.policy.events


def attempts_ended(balancer: BalancerProcess) -> list[interface.AttemptEnded]:
    """Returns the `AttemptEnded` events that a running balancer's scripted policy has received."""
    return [event for event in events_of(balancer) if isinstance(event, interface.AttemptEnded)]
