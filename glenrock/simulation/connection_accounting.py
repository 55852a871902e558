"""Connection accounting: closes connections, and counts their served and open time by tenant and zone."""

from __future__ import annotations

from .engine import SECOND_US
from .fleet_state import FleetState
from .model.requests import Attempt
from .model.server import Connection


class ConnectionAccounting(FleetState):
    """The part of a simulation that closes connections and counts their time."""

    def credit_tenant(self, connection: Connection[Attempt]) -> None:
        """Credits a tenant with the seconds in which its connection was served in time since the last credit."""
        if self.measurement_ended:
            return
        self.measure.record_tenant_served(connection.attempt.request.client.planned, connection.uncredited_s)
        connection.uncredited_s = 0.0

    def close_connection(self, connection: Connection[Attempt]) -> None:
        """Closes a connection at its server, and counts its served and open time."""
        connection.attempt.server.close(self.engine.now, connection)
        self.credit_tenant(connection)
        self.count_open_time(connection)
        client = connection.attempt.request.client
        if client.connection is connection:
            client.connection = client.request = None
            self.connected_clients.pop(client, None)

    def count_open_time(self, connection: Connection[Attempt]) -> None:
        """Counts how long a connection was open, in total and if it crossed zones."""
        end_us = min(self.engine.now, self.start_us + self.length_us)
        open_s = (end_us - connection.opened_us) / SECOND_US
        if open_s > 0:
            self.measure.connection_s += open_s
            attempt = connection.attempt
            if attempt.request.balancer.zone != attempt.server.shape.zone:
                self.measure.cross_zone_s += open_s
