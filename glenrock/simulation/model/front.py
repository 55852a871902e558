"""The front end: spreads clients evenly over the balancers of their zone, and detects stopped ones with a delay."""

from __future__ import annotations

from ..engine import SECOND_US, Engine
from ..spec_tables import Front as FrontEndSpec
from ..spec_types import drawn_number
from ..streams import Streams
from .balancer import BalancerProcess


class FrontEnd:
    """The tier that assigns each request of a client to a balancer.

    Attributes:
        detection_delay_us: time from the end of a balancer's process until it gets no more clients.
        admission_delay_us: time from the start of a balancer's process until it gets clients.
        in_rotation: by zone, the balancers that get clients, sorted by index.
    """

    def __init__(
        self, spec: FrontEndSpec, balancers: list[BalancerProcess], zones: int, engine: Engine, streams: Streams
    ) -> None:
        self.detection_delay_us = round(drawn_number(spec.notice_s) * SECOND_US)
        self.admission_delay_us = round(drawn_number(spec.admit_s) * SECOND_US)
        self.engine, self.draw_uniform = engine, streams.uniforms("front")
        self.in_rotation: list[list[BalancerProcess]] = [
            [balancer for balancer in balancers if balancer.zone == zone] for zone in range(zones)
        ]

    def select_balancer(self, zone: int) -> BalancerProcess | None:
        """Draws a balancer of the zone, or of any zone if that one has none; None if no balancer is in rotation."""
        candidates = self.in_rotation[zone] or [balancer for balancers in self.in_rotation for balancer in balancers]
        return candidates[int(self.draw_uniform() * len(candidates))] if candidates else None

    def balancer_ended(self, balancer: BalancerProcess) -> None:
        """Schedules the removal of a balancer whose process has ended."""
        self.engine.at(self.engine.now + self.detection_delay_us, self._remove_if_down, balancer, balancer.incarnation)

    def _remove_if_down(self, balancer: BalancerProcess, incarnation: int) -> None:
        if balancer.incarnation == incarnation and not balancer.is_up:
            self.remove(balancer)

    def remove(self, balancer: BalancerProcess) -> None:
        """Takes a balancer out of rotation."""
        if balancer in self.in_rotation[balancer.zone]:
            self.in_rotation[balancer.zone].remove(balancer)

    def balancer_started(self, balancer: BalancerProcess) -> None:
        """Schedules the addition of a balancer that has started."""
        self.engine.at(self.engine.now + self.admission_delay_us, self.add, balancer, balancer.incarnation)

    def add(self, balancer: BalancerProcess, incarnation: int) -> None:
        """Puts a balancer into rotation, unless that incarnation of it has ended."""
        in_rotation = self.in_rotation[balancer.zone]
        if balancer.incarnation == incarnation and balancer.is_up and balancer not in in_rotation:
            in_rotation.append(balancer)
            in_rotation.sort(key=lambda other: other.index)
