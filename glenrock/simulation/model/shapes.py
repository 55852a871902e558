"""The instances of a run, as drawn for it, and the figures that they share."""

from __future__ import annotations

import numpy as np

from ..engine import SECOND_US
from ..spec import Experiment, Kind
from ..spec_types import drawn_count, drawn_number
from ..streams import Streams
from .instance import Figures, Shape
from .plan import skewed

MIN_SPEED_FACTOR = 0.2  # of the normal draw of an instance's speed


def shapes(experiment: Experiment, streams: Streams) -> list[Shape]:
    """Draws the instances of an experiment that is itself drawn."""
    draw = streams.of("instances")
    count = drawn_count(experiment.fleet.instances)
    shares = np.array([drawn_number(kind.share) for kind in experiment.kinds])
    kinds = draw.choice(len(shares), size=count, p=shares / shares.sum())
    zone_fractions = skewed(len(experiment.fleet.zones), drawn_number(experiment.fleet.instance_skew), last=True)
    # Zones are filled in proportion and not drawn, so that a small fleet never lacks a zone.
    bounds = np.cumsum(zone_fractions)
    zones = np.searchsorted(bounds, (np.arange(count) + 0.5) / count).clip(0, len(zone_fractions) - 1)
    found = []
    for number in range(count):
        kind = experiment.kinds[int(kinds[number])]
        factor = max(MIN_SPEED_FACTOR, 1 + drawn_number(kind.speed_cv) * float(draw.standard_normal()))
        found.append(_shape(kind, int(zones[number]), drawn_number(kind.speed) * factor))
    return found


def _shape(kind: Kind, zone: int, speed: float) -> Shape:
    return Shape(
        kind=kind.name,
        zone=zone,
        cores=kind.cores,
        speed=speed,
        cold_part=drawn_number(kind.cold_part),
        warm_us=drawn_number(kind.warm_s) * SECOND_US,
        crowd_at=drawn_number(kind.crowd_at),
        crowd_loss=drawn_number(kind.crowd_loss),
        queue=max(1, round(drawn_number(kind.queue_per_core) * kind.cores)),
        connections=max(1, round(drawn_number(kind.connections_per_core) * kind.cores)),
        buffer_s=drawn_number(kind.buffer_s),
        sheds=kind.sheds,
    )


def figures(experiment: Experiment) -> Figures:
    """Returns the figures that the instances of a drawn experiment share."""
    objectives_us = tuple(drawn_number(class_.message_aim_ms) * 1000 for class_ in experiment.classes)
    shortest_us = min(drawn_number(class_.message_aim_ms) for class_ in experiment.classes) * 1000
    usual_load = SECOND_US / drawn_number(experiment.traffic.connections_per_core)
    return Figures(
        message_us=shortest_us * drawn_number(experiment.traffic.message_part),
        bursty=drawn_number(experiment.traffic.bursty),
        aims=objectives_us,
        shortest_us=shortest_us,
        group_load=usual_load * drawn_number(experiment.traffic.group_cost),
        usual_load=usual_load,
        report_us=max(1, round(drawn_number(experiment.reports.period_ms) * 1000)),
        cold_multiple=experiment.rules.cold_multiple,
        cold_window_us=round(experiment.rules.cold_window_ms * 1000),
    )
