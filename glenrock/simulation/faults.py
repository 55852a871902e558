"""Injects the faults of an experiment into a simulation, with one function for each kind.

The targets of each fault are drawn from its own random stream, so that every policy meets the same fault.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import numpy as np

from . import spec_faults
from .engine import SECOND_US
from .model.balancer import BalancerProcess
from .model.requests import Attempt
from .model.server import ServerModel
from .process_control import ProcessControl
from .spec_types import drawn_number

Target = TypeVar("Target")


def to_us(seconds: float | tuple[float, ...]) -> int:
    """Converts seconds in a drawn experiment to microseconds."""
    return round(drawn_number(seconds) * SECOND_US)


def draw_targets(
    generator: np.random.Generator, candidates: list[Target], fraction: float | tuple[float, ...], minimum: int = 1
) -> list[Target]:
    """Draws a fraction of the candidates, at least `minimum` of them unless the fraction is 0, in random order."""
    fraction = drawn_number(fraction)
    count = min(len(candidates), max(minimum, round(fraction * len(candidates)))) if fraction > 0 else 0
    return [candidates[number] for number in generator.permutation(len(candidates))[:count]]


def _running_servers(simulation: ProcessControl) -> list[ServerModel[Attempt]]:
    return [server for server in simulation.servers.values() if server.is_up]


def crash_servers(simulation: ProcessControl, fault: spec_faults.Crash, generator: np.random.Generator) -> None:
    """Ends the processes of random servers, and starts them again."""
    candidates = [
        server for server in _running_servers(simulation) if fault.zone in ("", simulation.zones[server.shape.zone])
    ]
    engine = simulation.engine
    for server in draw_targets(generator, candidates, fault.part):
        simulation.stop_server(server)
        if fault.down_s:
            engine.at(engine.now + to_us(fault.down_s), simulation.start_server, server)


def partition_zone(simulation: ProcessControl, fault: spec_faults.ZoneCut, generator: np.random.Generator) -> None:
    """Partitions a zone, and heals it."""
    zone = simulation.zones.index(fault.zone) if fault.zone else 0
    simulation.partition_zone(zone)
    simulation.engine.at(simulation.engine.now + to_us(fault.for_s), simulation.heal_zone, zone)


def restart_balancers(
    simulation: ProcessControl, fault: spec_faults.BalancerRoll, generator: np.random.Generator
) -> None:
    """Restarts random balancers in batches."""
    order = draw_targets(generator, simulation.balancers, fault.part)
    batch_size = max(1, round(drawn_number(fault.batch) * len(simulation.balancers)))
    batches = [order[start : start + batch_size] for start in range(0, len(order), batch_size)]
    for number, batch in enumerate(batches):
        at_us = simulation.engine.now + to_us(fault.for_s) * number // len(batches)
        for balancer in batch:
            simulation.engine.at(
                at_us, _restart_balancer, simulation, balancer, to_us(fault.down_s), to_us(fault.hand_back_s)
            )


def _restart_balancer(simulation: ProcessControl, balancer: BalancerProcess, down_us: int, shutdown_us: int) -> None:
    """Restarts a balancer after a graceful shutdown of `shutdown_us` (0: the process is killed)."""
    if not balancer.is_up:
        return
    is_planned = shutdown_us > 0
    if is_planned:
        simulation.shut_down_gracefully(balancer, shutdown_us)
    engine = simulation.engine
    engine.at(engine.now + shutdown_us, simulation.kill_balancer, balancer, balancer.incarnation, is_planned)
    engine.at(engine.now + shutdown_us + down_us, simulation.start_balancer, balancer)


def drop_connections(simulation: ProcessControl, fault: spec_faults.Reconnect, generator: np.random.Generator) -> None:
    """Drops random connections from their client side."""
    connections = [
        connection for server in simulation.servers.values() for connection in server.open_connections.values()
    ]
    for connection in draw_targets(generator, connections, fault.part, 0):
        simulation.drop_client_side(connection, round(float(generator.random()) * to_us(fault.within_s)))


def slow_servers(simulation: ProcessControl, fault: spec_faults.Slow, generator: np.random.Generator) -> None:
    """Slows random servers down."""
    targets = draw_targets(generator, _running_servers(simulation), fault.part)
    engine = simulation.engine
    for server in targets:
        server.set_speed_fraction(engine.now, drawn_number(fault.speed))
    incarnations = [(server, server.incarnation) for server in targets]
    engine.at(engine.now + to_us(fault.for_s), _restore_speed, simulation, incarnations)


def _restore_speed(simulation: ProcessControl, incarnations: list[tuple[ServerModel[Attempt], int]]) -> None:
    for server, incarnation in incarnations:
        if server.incarnation == incarnation:
            server.set_speed_fraction(simulation.engine.now, 1.0)


def fail_setups(simulation: ProcessControl, fault: spec_faults.Errs, generator: np.random.Generator) -> None:
    """Makes random servers answer ERR."""
    targets = draw_targets(generator, _running_servers(simulation), fault.part)
    for server in targets:
        simulation.error_chances[server.name] = drawn_number(fault.chance)
    engine = simulation.engine
    engine.at(engine.now + to_us(fault.for_s), _end_errors, simulation, [server.name for server in targets])


def _end_errors(simulation: ProcessControl, names: list[str]) -> None:
    for name in names:
        simulation.error_chances.pop(name, None)


def silence_discovery(
    simulation: ProcessControl, fault: spec_faults.DiscoverySilence, generator: np.random.Generator
) -> None:
    """Stops updates from service discovery for a while."""
    end_us = simulation.engine.now + to_us(fault.for_s)
    simulation.feed.silent_until_us = max(simulation.feed.silent_until_us, end_us)


def provide_stale_list(
    simulation: ProcessControl, fault: spec_faults.StaleList, generator: np.random.Generator
) -> None:
    """Makes balancers start with an old endpoint list for a while."""
    simulation.feed.cached_list_age_us = to_us(fault.age_s)
    simulation.engine.at(simulation.engine.now + to_us(fault.for_s), _end_stale_list, simulation)


def _end_stale_list(simulation: ProcessControl) -> None:
    simulation.feed.cached_list_age_us = 0


def do_nothing(
    simulation: ProcessControl, fault: spec_faults.FlashCrowd | spec_faults.TenantFlood, generator: np.random.Generator
) -> None:
    """Does nothing: the workload (`model.workload`) already contains the additional clients."""


def deploy_servers(simulation: ProcessControl, fault: spec_faults.Drains, generator: np.random.Generator) -> None:
    """Drains, stops and starts random servers in batches, as a deployment does."""
    order = draw_targets(generator, _running_servers(simulation), fault.part)
    batch_size = max(1, round(drawn_number(fault.batch) * len(simulation.servers)))
    engine = simulation.engine
    for start in range(0, len(order), batch_size):
        drain_us = engine.now + to_us(fault.every_s) * (start // batch_size)
        stop_us = drain_us + to_us(fault.drain_s)
        for server in order[start : start + batch_size]:
            engine.at(drain_us, simulation.drain_server, server)
            engine.at(stop_us, simulation.stop_if_draining, server)
            engine.at(stop_us + to_us(fault.down_s), simulation.start_server, server)


def suspend_busiest_server(
    simulation: ProcessControl, fault: spec_faults.ByHand, generator: np.random.Generator
) -> None:
    """Suspends the server with the most connections on every balancer, restarts it, and ends the suspension."""
    server = max(
        _running_servers(simulation),
        key=lambda candidate: (len(candidate.open_connections), candidate.name),
        default=None,
    )
    if server is None:
        return
    engine = simulation.engine
    for number, balancer in enumerate(simulation.balancers):
        call_us = engine.now + to_us(fault.spread_s) * number
        engine.at(call_us, balancer.override_server, server.name, True)
        engine.at(call_us + to_us(fault.for_s), balancer.override_server, server.name, False)
    stop_us = engine.now + to_us(fault.restart_s)
    engine.at(stop_us, simulation.stop_server, server)
    engine.at(stop_us + to_us(fault.down_s), simulation.start_server, server)


def drain_balancer(simulation: ProcessControl, fault: spec_faults.SendAway, generator: np.random.Generator) -> None:
    """Drains a balancer as an operator does, and ends the drain."""
    balancer = simulation.balancers[fault.balancer]
    engine = simulation.engine
    if balancer.is_up:
        simulation.start_manual_drain(balancer)
        end_us = engine.now + to_us(fault.for_s)
        engine.at(end_us, simulation.end_manual_drain, balancer, balancer.incarnation)


def lose_gossip(simulation: ProcessControl, fault: spec_faults.PeerLoss, generator: np.random.Generator) -> None:
    """Loses gossip between balancers for a while."""
    simulation.links.peer_delivery_fraction = 1 - drawn_number(fault.loss)
    simulation.engine.at(simulation.engine.now + to_us(fault.for_s), _end_gossip_loss, simulation)


def _end_gossip_loss(simulation: ProcessControl) -> None:
    simulation.links.peer_delivery_fraction = 1.0


INJECTORS: dict[type[spec_faults.Fault], Callable[[Any, Any, np.random.Generator], None]] = {
    spec_faults.Crash: crash_servers,
    spec_faults.ZoneCut: partition_zone,
    spec_faults.BalancerRoll: restart_balancers,
    spec_faults.Reconnect: drop_connections,
    spec_faults.Slow: slow_servers,
    spec_faults.DiscoverySilence: silence_discovery,
    spec_faults.StaleList: provide_stale_list,
    spec_faults.FlashCrowd: do_nothing,
    spec_faults.TenantFlood: do_nothing,
    spec_faults.Drains: deploy_servers,
    spec_faults.PeerLoss: lose_gossip,
    spec_faults.Errs: fail_setups,
    spec_faults.ByHand: suspend_busiest_server,
    spec_faults.SendAway: drain_balancer,
}


def duration_s(fault: spec_faults.Fault) -> float:
    """Returns how long the cause of a fault lasts, in seconds. Reports shade this period."""
    if isinstance(fault, spec_faults.Crash):
        return drawn_number(fault.down_s)
    if isinstance(fault, spec_faults.Reconnect):
        return drawn_number(fault.within_s)
    if isinstance(fault, spec_faults.Drains):
        batches = max(1, round(drawn_number(fault.part) / max(1e-9, drawn_number(fault.batch))))
        return drawn_number(fault.every_s) * (batches - 1) + drawn_number(fault.drain_s) + drawn_number(fault.down_s)
    return drawn_number(getattr(fault, "for_s", 0.0))
