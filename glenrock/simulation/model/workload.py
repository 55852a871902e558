"""The workload: the clients of a run and their loads, drawn before the run starts.

A client wants its connection from its arrival to a fixed end time, served or not. The workload is therefore the same
under every policy (an open-loop workload), waiting does not slow arrivals, and seconds spent waiting count against
the policy.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from ..engine import SECOND_US
from ..spec_faults import FlashCrowd, TenantFlood
from ..spec_tables import Experiment
from ..spec_types import drawn_number
from ..streams import Streams

HISTORY_LIFETIMES = 6.0  # history of arrivals before the run, from which its initial connections are drawn
END_MARGIN_S = 1e-6  # minimum time from an arrival to the end of the run

FloatArray = npt.NDArray[np.float64]
IntArray = npt.NDArray[np.int64]


@dataclass(slots=True, eq=False)
class PlannedClient:
    """The part of the workload that one client makes up.

    Attributes:
        number: index of the client in the workload, in order of arrival.
        arrival_us: microseconds from the start of the run; negative if its connection is open at the start.
        end_us: microseconds from the start of the run.
        class_index: index of its request class.
        tenant: index of its tenant.
        zone: index of its zone.
        group: affinity group.
        base_load: load that its random `load_changes` vary around, in microseconds of work per second.
        quota_factor: factor of its priority weight: 1, or less if its tenant was over quota when it arrived.
        load_changes: pairs of a time in microseconds from the start of the run, and the load from then on.
    """

    number: int
    arrival_us: int
    end_us: int
    class_index: int
    tenant: int
    zone: int
    group: int
    base_load: float
    quota_factor: float
    load_changes: tuple[tuple[int, float], ...]


@dataclass(slots=True)
class Workload:
    """The workload of a run.

    Attributes:
        clients: clients in order of arrival.
        demanded: priority weight demanded in each second, by class.
        quotas: quota of each tenant, in connections.
        mean_load: mean load of a connection, in microseconds of work per second.
        capacity: capacity of the whole fleet, in microseconds of work per second.
        clients_per_s: mean rate of new clients.
    """

    clients: list[PlannedClient]
    demanded: FloatArray
    quotas: tuple[float, ...]
    mean_load: float
    capacity: float
    clients_per_s: float


@dataclass(frozen=True, slots=True)
class _ArrivalParameters:
    """The parameters from which the arrivals of a workload are drawn.

    Attributes:
        class_fractions: fraction of new clients in each class.
        lifetimes_s: mean lifetime of a connection, by class.
        base_load: load of a connection of a class with relative load 1, in microseconds of work per second.
        mean_load: mean load of a connection over all classes, in microseconds of work per second.
        clients_per_s: mean rate of new clients.
        tenant_fractions: fraction of the quotas that each tenant has.
        usage_fractions: fraction of new clients that each tenant has.
    """

    class_fractions: FloatArray
    lifetimes_s: FloatArray
    base_load: float
    mean_load: float
    clients_per_s: float
    tenant_fractions: FloatArray
    usage_fractions: FloatArray


def skewed_fractions(count: int, skew: float, skew_last: bool = False) -> FloatArray:
    """Returns `count` fractions that add up to 1.

    Args:
        count: number of fractions.
        skew: 0 for equal fractions, up to 1 for everything on one of them.
        skew_last: whether that one is the last, and not the first.
    """
    fractions = np.full(count, 1 / count)
    fractions = fractions * (1 - skew)
    fractions[-1 if skew_last else 0] += skew
    return fractions


def draw_workload(experiment: Experiment, streams: Streams, capacity: float) -> Workload:
    """Draws the workload of an experiment.

    Args:
        experiment: the experiment, with its ranges already drawn.
        streams: the random streams of the run.
        capacity: capacity of the servers drawn for the run, in microseconds of work per second.
    """
    parameters = _arrival_parameters(experiment, capacity)
    quota_headroom = drawn_number(experiment.platform.share_room)
    quotas = tuple(
        float(quota) for quota in parameters.tenant_fractions * quota_headroom * capacity / parameters.mean_load
    )
    times, tenants = _draw_arrivals(experiment, streams, parameters)
    return _draw_clients(experiment, streams, times, tenants, quotas, parameters, capacity)


def _arrival_parameters(experiment: Experiment, capacity: float) -> _ArrivalParameters:
    traffic, classes = experiment.traffic, experiment.classes
    base_load = SECOND_US / drawn_number(traffic.connections_per_core)
    fractions = np.array([drawn_number(class_.share) for class_ in classes])
    fractions /= fractions.sum()
    busy = np.array([drawn_number(class_.load) * (1 - drawn_number(class_.idle)) for class_ in classes], dtype=float)
    lifetimes_s = np.array([drawn_number(class_.life) for class_ in classes], dtype=float) * drawn_number(
        traffic.life_s
    )
    if (lifetimes_s > 0).any():
        demand_per_client = float((fractions * busy * lifetimes_s).sum()) * base_load
    else:
        demand_per_client = float((fractions * [drawn_number(c.setup_ms) * 1000 for c in classes]).sum())
    clients_per_s = drawn_number(traffic.load) * capacity / demand_per_client
    tenant_fractions = np.array([drawn_number(tenant.share) for tenant in experiment.tenants])
    tenant_fractions /= tenant_fractions.sum()
    open_connections = fractions * lifetimes_s
    mean_load = base_load
    if open_connections.sum():
        mean_load = float((open_connections * busy).sum() / open_connections.sum()) * base_load
    usage = tenant_fractions * [drawn_number(tenant.usage) for tenant in experiment.tenants]
    usage /= usage.sum()
    return _ArrivalParameters(fractions, lifetimes_s, base_load, mean_load, clients_per_s, tenant_fractions, usage)


def _relative_rate(experiment: Experiment, times_s: FloatArray) -> FloatArray:
    """Returns the rate of arrivals at each time, relative to the mean rate."""
    traffic, swing = experiment.traffic, drawn_number(experiment.traffic.swing)
    progress = np.clip(times_s / drawn_number(experiment.length_s), 0, 1)
    if traffic.shape == "ramp":
        return 1 + swing * (2 * progress - 1)
    return 1 + swing * np.sin(2 * np.pi * progress) if traffic.shape == "wave" else np.ones_like(progress)


def _draw_arrivals(
    experiment: Experiment, streams: Streams, parameters: _ArrivalParameters
) -> tuple[FloatArray, IntArray]:
    """Draws the times of arrivals in seconds, sorted, and the tenant of each."""
    length_s, swing = drawn_number(experiment.length_s), drawn_number(experiment.traffic.swing)
    history_s = HISTORY_LIFETIMES * float(parameters.lifetimes_s.max())
    tenant_count = len(parameters.tenant_fractions)
    draw = streams.generator("arrivals")
    count = draw.poisson(parameters.clients_per_s * (1 + swing) * (history_s + length_s))
    times = np.sort(draw.random(count)) * (history_s + length_s) - history_s
    times = times[draw.random(count) * (1 + swing) < _relative_rate(experiment, times)]
    tenants = draw.choice(tenant_count, size=len(times), p=parameters.usage_fractions)
    # Faults draw their arrivals from streams of their own, so that the other arrivals are the same without the fault.
    for number, fault in enumerate(experiment.faults):
        if isinstance(fault, FlashCrowd | TenantFlood):
            more_times, more_tenants = _draw_fault_arrivals(
                experiment, fault, streams.generator(f"arrivals of fault {number}"), parameters
            )
            times, tenants = np.append(times, more_times), np.append(tenants, more_tenants)
    times = np.minimum(times, length_s - END_MARGIN_S)
    order = np.argsort(times, kind="stable")
    return times[order], tenants[order]


def _draw_fault_arrivals(
    experiment: Experiment, fault: FlashCrowd | TenantFlood, draw: np.random.Generator, parameters: _ArrivalParameters
) -> tuple[FloatArray, IntArray]:
    tenant = None
    if isinstance(fault, TenantFlood):
        names = [tenant.name for tenant in experiment.tenants]
        tenant = names.index(fault.tenant) if fault.tenant in names else 0
    usage = parameters.usage_fractions[tenant] if tenant is not None else 1.0
    rate = parameters.clients_per_s * max(0.0, drawn_number(fault.times) - 1) * usage
    count = draw.poisson(rate * drawn_number(fault.for_s))
    times = drawn_number(fault.at_s) + draw.random(count) * drawn_number(fault.for_s)
    if tenant is not None:
        return times, np.full(count, tenant)
    return times, draw.choice(len(parameters.tenant_fractions), size=count, p=parameters.usage_fractions)


def _draw_clients(
    experiment: Experiment,
    streams: Streams,
    times: FloatArray,
    tenants: IntArray,
    quotas: tuple[float, ...],
    parameters: _ArrivalParameters,
    capacity: float,
) -> Workload:
    traffic, classes, zone_count = experiment.traffic, experiment.classes, len(experiment.fleet.zones)
    count, length_s = len(times), drawn_number(experiment.length_s)
    fractions, lifetimes_s = parameters.class_fractions, parameters.lifetimes_s
    draw = streams.generator("clients")
    class_indices = draw.choice(len(fractions), size=count, p=fractions)
    zones = draw.choice(
        zone_count, size=count, p=skewed_fractions(zone_count, drawn_number(experiment.fleet.zone_skew))
    )
    sigma = drawn_number(traffic.life_sigma)
    lifetimes = lifetimes_s[class_indices] * np.exp(sigma * draw.standard_normal(count) - sigma * sigma / 2)
    load_sigma = np.array([drawn_number(class_.load_sigma) for class_ in classes])[class_indices]
    relative_load = np.array([drawn_number(class_.load) for class_ in classes])[class_indices]
    loads = (
        parameters.base_load
        * relative_load
        * np.exp(load_sigma * draw.standard_normal(count) - load_sigma * load_sigma / 2)
    )
    # The size of a group is proportional to 1 / sqrt(rank).
    open_connections = max(1.0, parameters.clients_per_s * float((fractions * lifetimes_s).sum()))
    group_count = max(1, round(open_connections / drawn_number(traffic.group_size)))
    group_sizes = 1 / np.sqrt(np.arange(1, group_count + 1))
    groups = draw.choice(group_count, size=count, p=group_sizes / group_sizes.sum())
    is_kept = (times >= 0) | (times + lifetimes > 0)
    times, lifetimes, loads = (column[is_kept] for column in (times, lifetimes, loads))
    tenants, class_indices, zones, groups = (column[is_kept] for column in (tenants, class_indices, zones, groups))
    ends = times + lifetimes
    changes = _draw_changes(experiment, streams, times, ends, class_indices, loads)
    quota_factors = _quota_factors(times, ends, tenants, quotas, float(experiment.platform.over_share_worth))
    columns = zip(
        (times * SECOND_US).astype(np.int64).tolist(),
        (ends * SECOND_US).astype(np.int64).tolist(),
        class_indices.tolist(),
        tenants.tolist(),
        zones.tolist(),
        groups.tolist(),
        loads.tolist(),
        quota_factors,
        changes,
        strict=True,
    )
    clients = [PlannedClient(number, *column) for number, column in enumerate(columns)]
    demanded = _demanded_weight(experiment, times, ends, class_indices, quota_factors, length_s)
    return Workload(clients, demanded, quotas, parameters.mean_load, capacity, parameters.clients_per_s)


def _draw_changes(
    experiment: Experiment,
    streams: Streams,
    times: FloatArray,
    ends: FloatArray,
    class_indices: IntArray,
    loads: FloatArray,
) -> list[tuple[tuple[int, float], ...]]:
    """Draws each client's load changes within the run, in order; the first is at its arrival or at the start."""
    classes, run_s = experiment.classes, drawn_number(experiment.length_s) + float(experiment.drain_s)
    draw = streams.generator("load changes")
    first = np.maximum(times, 0.0)
    span = np.maximum(0.0, np.minimum(ends, run_s) - first)
    interval_s = np.array([drawn_number(class_.change_s) for class_ in classes])[class_indices]
    counts = draw.poisson(span / interval_s) + 1
    starts = np.concatenate(([0], np.cumsum(counts)))
    total = int(starts[-1])
    owners = np.repeat(np.arange(len(times)), counts)
    change_times = first[owners] + draw.random(total) * span[owners]
    change_times[starts[:-1]] = first
    swing = np.array([drawn_number(class_.swing_sigma) for class_ in classes])[class_indices][owners]
    idle = np.array([drawn_number(class_.idle) for class_ in classes])[class_indices][owners]
    change_loads = loads[owners] * np.exp(swing * draw.standard_normal(total) - swing * swing / 2)
    change_loads[draw.random(total) < idle] = 0.0
    order = np.lexsort((change_times, owners))
    times_us = (change_times[order] * SECOND_US).astype(np.int64).tolist()
    ordered_loads = change_loads[order].tolist()
    return [
        tuple(zip(times_us[start:end], ordered_loads[start:end], strict=True))
        for start, end in zip(starts[:-1].tolist(), starts[1:].tolist(), strict=True)
    ]


def _demanded_weight(
    experiment: Experiment,
    times: FloatArray,
    ends: FloatArray,
    class_indices: IntArray,
    quota_factors: list[float],
    length_s: float,
) -> FloatArray:
    """Returns the priority weight demanded in each second, by class."""
    class_weights = np.array([float(class_.worth) for class_ in experiment.classes])
    seconds = int(np.ceil(length_s))
    demanded = np.zeros((seconds, len(class_weights)))
    values = class_weights[class_indices] * np.array(quota_factors)
    for second in range(seconds):
        inside = np.clip(np.minimum(ends, min(second + 1, length_s)) - np.maximum(times, second), 0, 1)
        demanded[second] = np.bincount(class_indices, weights=values * inside, minlength=len(class_weights))
    return demanded


def _quota_factors(
    times: FloatArray, ends: FloatArray, tenants: IntArray, quotas: tuple[float, ...], over_quota_weight: float
) -> list[float]:
    """Returns for each client 1 if its tenant was within its quota at the arrival, else `over_quota_weight`."""
    quota_factors = [1.0] * len(times)
    for tenant, quota in enumerate(quotas):
        clients = np.nonzero(tenants == tenant)[0]
        sorted_ends = np.sort(ends[clients])
        open_connections = np.arange(len(clients)) - np.searchsorted(sorted_ends, times[clients], side="right")
        for client in clients[open_connections >= quota].tolist():
            quota_factors[client] = over_quota_weight
    return quota_factors
