"""A day's accounts: seconds of connections that were served, by tenant and by zone. Part of `Day`."""

from __future__ import annotations

from .fleet_state import FleetState, S
from .model.instance import Connection
from .model.requests import Attempt


class Accounting(FleetState):
    """Ends connections, and counts their seconds."""

    def credit(self, c: Connection[Attempt]) -> None:
        """Its seconds served go to its tenant."""
        if self.over:
            return
        self.measure.credit(c.attempt.flow.client.row, c.earned)
        c.earned = 0.0

    def close(self, c: Connection[Attempt]) -> None:
        """It ends at its instance, and its seconds are counted."""
        a = c.attempt
        a.instance.close(self.engine.now, c)
        self.count_out(c)

    def count_out(self, c: Connection[Attempt]) -> None:
        self.credit(c)
        self.count_span(c)
        client = c.attempt.flow.client
        if client.connection is c:
            client.connection = client.flow = None
            self.standing.pop(client, None)

    def count_span(self, c: Connection[Attempt]) -> None:
        """How long it stood, and whether across zones."""
        span = (min(self.engine.now, self.begin_us + self.length) - c.opened) / S
        if span > 0:
            self.measure.standing_s += span
            if c.attempt.flow.host.zone != c.attempt.instance.shape.zone:
                self.measure.crossing_s += span
