"""The network links: how long a message takes, and whether it arrives."""

from __future__ import annotations

from ..spec_tables import Network
from ..spec_types import drawn_number
from ..streams import Streams


class Links:
    """The links of a fleet. In a partitioned zone, messages pass within the zone only.

    Attributes:
        same_zone_us: minimum one-way time within a zone.
        cross_zone_us: minimum one-way time between zones.
        client_us: minimum one-way time between a client and a balancer.
        jitter: mean of the random part of a one-way time, as a fraction of the minimum.
        peer_delay_us: mean of the additional, exponential delay of messages between balancers.
        peer_loss: fraction of the messages between balancers that is lost without a fault.
        peer_delivery_fraction: fraction of the remaining messages between balancers that a fault lets through.
        partitioned_zones: zones whose links to all other zones are cut.
    """

    def __init__(self, network: Network, streams: Streams) -> None:
        self.same_zone_us = drawn_number(network.same_ms) * 1000
        self.cross_zone_us = drawn_number(network.cross_ms) * 1000
        self.client_us, self.jitter = drawn_number(network.client_ms) * 1000, drawn_number(network.jitter)
        self.peer_delay_us, self.peer_loss = drawn_number(network.peer_ms) * 1000, drawn_number(network.peer_loss)
        self.peer_delivery_fraction = 1.0
        self.partitioned_zones: set[int] = set()
        self.draw_exponential = streams.exponentials("links")
        self.draw_loss = streams.uniforms("peer loss")

    def is_open(self, zone: int, other_zone: int) -> bool:
        """Returns whether messages can pass between two zones."""
        partitioned = self.partitioned_zones
        return zone == other_zone or not partitioned or (zone not in partitioned and other_zone not in partitioned)

    def one_way_us(self, zone: int, other_zone: int) -> int:
        """Draws the one-way time of a message between two zones, in microseconds, at least 1."""
        return self._jittered(self.same_zone_us if zone == other_zone else self.cross_zone_us)

    def client_one_way_us(self) -> int:
        """Draws the one-way time of a message between a client and a balancer, in microseconds, at least 1."""
        return self._jittered(self.client_us)

    def _jittered(self, minimum_us: float) -> int:
        return max(1, round(minimum_us * (1 + self.jitter * self.draw_exponential())))

    def peer_one_way_us(self, zone: int, other_zone: int) -> int | None:
        """Draws the one-way time of a message between two balancers, in microseconds; None if it is lost."""
        if not self.is_open(zone, other_zone):
            return None
        if self.draw_loss() >= (1 - self.peer_loss) * self.peer_delivery_fraction:
            return None
        return self.one_way_us(zone, other_zone) + round(self.peer_delay_us * self.draw_exponential())
