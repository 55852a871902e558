"""Reports the events of one client connection to routing, and its outcome to the metrics."""

from __future__ import annotations

from glenrock.routing import interface

from .clock import us_from_ms
from .metrics import ConnectionMetrics, ConnectionOutcome
from .protocol import RequestLine
from .routing_actor import RoutingActor


class ConnectionReports:
    """Posts events of one connection to routing, and counts its outcome; the end and the outcome only once.

    Attributes:
        load: the load of the connection, as the client's hint or a later report gave it.
        is_counted: whether the metrics have the outcome.
        is_end_known: whether routing knows that the request or the connection has ended, or never received the request.
    """

    def __init__(
        self, routing: RoutingActor, metrics: ConnectionMetrics, request_line: RequestLine, deadline_ms: float
    ) -> None:
        self.load = request_line.load
        self.is_counted = False
        self.is_end_known = False
        self._routing = routing
        self._metrics = metrics
        self._request_line = request_line
        self._deadline_ms = deadline_ms

    def _request(self) -> interface.Request:
        request_line = self._request_line
        return interface.Request(
            request_id=request_line.request_id,
            class_name=request_line.class_name,
            deadline_us=us_from_ms(self._deadline_ms),
            key=request_line.key,
            group=request_line.group,
            tenant=request_line.tenant,
            load=self.load,
            is_returning=request_line.is_returning,
        )

    def post_request(self) -> bool:
        """Asks routing for a decision. Returns False if its mailbox is full."""
        return self._routing.post(self._request())

    def post_open(self, server: str) -> None:
        """Reports an open connection that routing has not assigned: resumed, taken over, or already discarded there."""
        self._routing.post_required(interface.OpenConnection(self._request(), server))

    def post_established(self, attempt_number: int, server: str, latency_ms: float) -> None:
        """Reports that the connection is established."""
        request_id = self._request_line.request_id
        self._routing.post_required(
            interface.ConnectionEstablished(request_id, attempt_number, server, us_from_ms(latency_ms))
        )

    def post_load(self, server: str, load: float) -> None:
        """Reports the load that the server has reported for the connection."""
        self._routing.post(interface.ConnectionFeedback(self._request_line.request_id, server, load=load))

    def post_attempt_end(
        self,
        attempt_number: int,
        server: str,
        outcome: interface.AttemptOutcome,
        latency_ms: float,
        report: dict[str, float],
        was_established: bool = False,
    ) -> None:
        """Reports that an attempt has failed, or that the connection it established has ended."""
        self._routing.post_required(
            interface.AttemptEnded(
                self._request_line.request_id,
                attempt_number,
                server,
                outcome,
                was_established,
                us_from_ms(latency_ms),
                report,
            )
        )

    def post_disconnected(self) -> None:
        """Reports that the client has disconnected, unless routing knows that the connection has ended."""
        if not self.is_end_known:
            self.is_end_known = True
            self._routing.post_required(interface.ClientDisconnected(self._request_line.request_id))

    def count(self, outcome: ConnectionOutcome) -> None:
        """Counts the outcome of the connection; calls after the first have no effect."""
        if not self.is_counted:
            self.is_counted = True
            self._metrics.add(outcome, self._request_line.class_name)
