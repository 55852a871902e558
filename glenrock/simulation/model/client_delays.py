"""The delays of clients between their requests: retries, reconnects and early disconnects."""

from __future__ import annotations

from ..spec_tables import Clients as ClientsSpec
from ..spec_types import drawn_count, drawn_number
from ..streams import Streams
from .requests import Client


class ClientDelays:
    """Draws the delays of clients, in microseconds.

    Attributes:
        backoff_us: base of the backoff after a failure.
        long_backoff_us: mean backoff once the retries with `backoff_us` are used up.
        reconnect_us: mean delay of a reconnect after a connection broke.
        migration_reconnect_us: mean delay of a reconnect after a migration notice.
        honoring_fraction: fraction of rejections whose retry-after time the client waits.
        impatient_fraction: fraction of requests in which the client disconnects before the timeout.
        backoff_retries: retries after which a client changes to `long_backoff_us`.
    """

    def __init__(self, spec: ClientsSpec, streams: Streams) -> None:
        self.spec = spec
        self.draw_uniform, self.draw_exponential = streams.uniforms("habits"), streams.exponentials("habit waits")
        self.backoff_us = drawn_number(spec.backoff_ms) * 1000
        self.long_backoff_us = drawn_number(spec.pause_ms) * 1000
        self.reconnect_us = drawn_number(spec.rejoin_ms) * 1000
        self.migration_reconnect_us = drawn_number(spec.move_ms) * 1000
        self.honoring_fraction = drawn_number(spec.honour)
        self.impatient_fraction = drawn_number(spec.impatient)
        self.backoff_retries = drawn_count(spec.retries)

    def delay_after_failure(self, client: Client) -> int:
        """Draws the delay until a client retries after a failure: at first by its backoff, later a long backoff."""
        if client.failures <= self.backoff_retries:
            factor = {"double": 2.0 ** (client.failures - 1), "fixed": 1.0, "none": 0.0}[self.spec.backoff]
            return round(self.backoff_us * factor * (0.5 + self.draw_uniform()))
        return round(self.long_backoff_us * (0.5 + self.draw_uniform()))

    def delay_after_rejection(self, client: Client, retry_after_us: int) -> int:
        """Draws the delay until a client retries after a rejection with a retry-after time (0: none)."""
        if retry_after_us > 0 and self.draw_uniform() < self.honoring_fraction:
            return retry_after_us
        return self.delay_after_failure(client)

    def delay_after_break(self) -> int:
        """Draws the delay until a client reconnects after its connection broke."""
        return round(self.reconnect_us * self.draw_exponential())

    def delay_after_migration(self) -> int:
        """Draws the delay until a client reconnects after a migration notice."""
        return round(self.migration_reconnect_us * (0.5 + self.draw_uniform()))

    def draw_disconnect_delay(self, timeout_us: int) -> int | None:
        """Draws after which time a client disconnects from a pending request; None if it waits for the timeout."""
        return round(timeout_us * self.draw_uniform()) if self.draw_uniform() < self.impatient_fraction else None
