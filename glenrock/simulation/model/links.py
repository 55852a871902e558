"""Links between zones: how long a message takes, and whether it arrives at all."""

from __future__ import annotations

from ..spec import Network
from ..streams import Streams


class Links:
    """`network` is drawn. A cut zone reaches itself, and no other."""

    def __init__(self, network: Network, streams: Streams) -> None:
        self.same, self.cross = float(network.same_ms) * 1000, float(network.cross_ms) * 1000
        self.outside, self.jitter = float(network.client_ms) * 1000, float(network.jitter)
        self.peer, self.loss = float(network.peer_ms) * 1000, float(network.peer_loss)
        self.more = 1.0  # part of the peer messages lost, beside the usual: a fault's
        self.cut: set[int] = set()
        self.chance = streams.exponentials("links")
        self.losing = streams.uniforms("peer loss")

    def open(self, a: int, b: int) -> bool:
        return a == b or not self.cut or (a not in self.cut and b not in self.cut)

    def way(self, a: int, b: int) -> int:
        """Microseconds one way between those zones, at least 1."""
        return self.after(self.same if a == b else self.cross)

    def to_client(self) -> int:
        return self.after(self.outside)

    def after(self, mean: float) -> int:
        return max(1, round(mean * (1 + self.jitter * self.chance())))

    def to_peer(self, a: int, b: int) -> int | None:
        """The same for a message between balancers; None if it is lost."""
        if not self.open(a, b) or self.losing() >= (1 - self.loss) * self.more:
            return None
        return self.way(a, b) + round(self.peer * self.chance())
