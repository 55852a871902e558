"""The instances of a day, as drawn for it, and the figures that they share. Pure but for the day's own streams."""

from __future__ import annotations

import numpy as np

from ..spec import Experiment
from ..streams import Streams
from .instance import Figures, Shape
from .plan import skewed

S = 1_000_000


def shapes(e: Experiment, streams: Streams) -> list[Shape]:
    """`e` is drawn."""
    draw = streams.of("instances")
    count = int(e.fleet.instances)
    shares = np.array([float(k.share) for k in e.kinds])
    kinds = draw.choice(len(shares), size=count, p=shares / shares.sum())
    zones = skewed(len(e.fleet.zones), float(e.fleet.instance_skew), last=True)
    # Spread by the parts, not drawn: a small fleet must not lose a zone by chance.
    bounds = np.cumsum(zones)
    place = np.searchsorted(bounds, (np.arange(count) + 0.5) / count).clip(0, len(zones) - 1)
    out = []
    for n in range(count):
        k = e.kinds[int(kinds[n])]
        speed = float(k.speed) * max(0.2, 1 + float(k.speed_cv) * float(draw.standard_normal()))
        out.append(
            Shape(
                k.name,
                int(place[n]),
                k.cores,
                speed,
                float(k.cold_part),
                float(k.warm_s) * S,
                float(k.crowd_at),
                float(k.crowd_loss),
                max(1, round(float(k.queue_per_core) * k.cores)),
                max(1, round(float(k.connections_per_core) * k.cores)),
                float(k.buffer_s),
                k.sheds,
            )
        )
    return out


def figures(e: Experiment) -> Figures:
    """`e` is drawn."""
    shortest = min(float(c.message_aim_ms) for c in e.classes) * 1000
    usual = S / float(e.traffic.connections_per_core)
    return Figures(
        shortest * float(e.traffic.message_part),
        float(e.traffic.bursty),
        tuple(float(c.message_aim_ms) * 1000 for c in e.classes),
        shortest,
        usual * float(e.traffic.group_cost),
        usual,
        max(1, round(float(e.reports.period_ms) * 1000)),
        e.rules.cold_multiple,
        round(e.rules.cold_window_ms * 1000),
    )
