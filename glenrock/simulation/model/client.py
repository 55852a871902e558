"""A client: what it wants is in the plan; here is how it tries, waits, comes again and gives up."""

from __future__ import annotations

from collections.abc import Callable

from ..spec import Clients as Spec
from ..streams import Streams
from .requests import Client


class Habits:
    """The times that clients take, drawn from a stream of their own."""

    def __init__(self, spec: Spec, streams: Streams) -> None:
        self.spec = spec
        self.draw, self.wait = streams.uniforms("habits"), streams.exponentials("habit waits")
        self.backoff, self.pause = float(spec.backoff_ms) * 1000, float(spec.pause_ms) * 1000
        self.rejoin, self.move = float(spec.rejoin_ms) * 1000, float(spec.move_ms) * 1000
        self.honour, self.impatient = float(spec.honour), float(spec.impatient)
        self.quick: Callable[[int], bool] = lambda failures: failures <= int(spec.retries)

    def after_failure(self, client: Client) -> int:
        """How long until it tries again by itself."""
        if self.quick(client.failures):
            times = {"double": 2.0 ** (client.failures - 1), "fixed": 1.0, "none": 0.0}[self.spec.backoff]
            return round(self.backoff * times * (0.5 + self.draw()))
        return round(self.pause * (0.5 + self.draw()))

    def after_refusal(self, client: Client, told_us: int) -> int:
        if told_us > 0 and self.draw() < self.honour:
            return told_us
        return self.after_failure(client)

    def after_break(self) -> int:
        return round(self.rejoin * self.wait())

    def after_move(self) -> int:
        return round(self.move * (0.5 + self.draw()))

    def leaves_after(self, give_up_us: int) -> int | None:
        """When it leaves this try early; None for the patient."""
        return round(give_up_us * self.draw()) if self.draw() < self.impatient else None
