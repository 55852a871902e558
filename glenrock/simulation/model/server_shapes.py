"""Draws the servers of a run, and computes the parameters that they share."""

from __future__ import annotations

import numpy as np

from ..engine import SECOND_US
from ..spec_tables import Experiment, Kind
from ..spec_types import drawn_count, drawn_number
from ..streams import Streams
from .server_parameters import ServerParameters, ServerShape
from .workload import skewed_fractions

MIN_SPEED_FACTOR = 0.2  # lower bound of the normally distributed factor of a server's speed


def draw_server_shapes(experiment: Experiment, streams: Streams) -> list[ServerShape]:
    """Draws the servers of an experiment whose ranges are already drawn."""
    draw = streams.generator("instances")
    count = drawn_count(experiment.fleet.instances)
    weights = np.array([drawn_number(kind.share) for kind in experiment.kinds])
    kinds = draw.choice(len(weights), size=count, p=weights / weights.sum())
    zone_fractions = skewed_fractions(
        len(experiment.fleet.zones), drawn_number(experiment.fleet.instance_skew), skew_last=True
    )
    # Servers are assigned to zones in proportion, not at random, so that a small fleet has servers in each zone.
    bounds = np.cumsum(zone_fractions)
    zones = np.searchsorted(bounds, (np.arange(count) + 0.5) / count).clip(0, len(zone_fractions) - 1)
    shapes = []
    for number in range(count):
        kind = experiment.kinds[int(kinds[number])]
        factor = max(MIN_SPEED_FACTOR, 1 + drawn_number(kind.speed_cv) * float(draw.standard_normal()))
        shapes.append(_make_shape(kind, int(zones[number]), drawn_number(kind.speed) * factor))
    return shapes


def _make_shape(kind: Kind, zone: int, speed: float) -> ServerShape:
    return ServerShape(
        kind=kind.name,
        zone=zone,
        cores=kind.cores,
        speed=speed,
        initial_fraction=drawn_number(kind.cold_part),
        slow_start_us=drawn_number(kind.warm_s) * SECOND_US,
        contention_threshold=drawn_number(kind.crowd_at),
        contention_loss=drawn_number(kind.crowd_loss),
        max_waiting_attempts=max(1, round(drawn_number(kind.queue_per_core) * kind.cores)),
        max_connections=max(1, round(drawn_number(kind.connections_per_core) * kind.cores)),
        max_backlog_s=drawn_number(kind.buffer_s),
        shedding=kind.sheds,
    )


def server_parameters(experiment: Experiment) -> ServerParameters:
    """Returns the parameters that all servers share, of an experiment whose ranges are already drawn."""
    objectives_us = tuple(drawn_number(class_.message_aim_ms) * 1000 for class_ in experiment.classes)
    shortest_us = min(drawn_number(class_.message_aim_ms) for class_ in experiment.classes) * 1000
    base_load = SECOND_US / drawn_number(experiment.traffic.connections_per_core)
    return ServerParameters(
        message_work_us=shortest_us * drawn_number(experiment.traffic.message_part),
        burstiness=drawn_number(experiment.traffic.bursty),
        message_objectives_us=objectives_us,
        shortest_objective_us=shortest_us,
        group_load=base_load * drawn_number(experiment.traffic.group_cost),
        base_load=base_load,
        load_report_interval_us=max(1, round(drawn_number(experiment.reports.period_ms) * 1000)),
        slow_start_multiple=experiment.rules.cold_multiple,
        slow_start_window_us=round(experiment.rules.cold_window_ms * 1000),
    )
