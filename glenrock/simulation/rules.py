"""The four rules (WIRE, section 13) and the one on lost connections (PROTOCOL), as a run sees them kept.

`model/` calls `breach` where it sees one; here they are counted and told, each with what led to it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

RULES = {
    "answered": "one final answer for each request, in time, and nothing sent after it",
    "repeated": "never two attempts of a request at once",
    "drained": "nothing new to an instance that drains or is gone, after the grace",
    "cold": "no cold instance pushed over",
    "cut off": "no standing connection ended without MOVE while its instance answers",
}
KEPT = 4000  # of the latest events, those that may have led to a breach
SHOWN = 12  # of them, told with a breach
TOLD = 50  # breaches kept in full; the others are counted


@dataclass(slots=True)
class Breach:
    rule: str
    at_s: float
    text: str
    balancer: int
    request: str
    instance: str
    led: list[str]


class Judge:
    def __init__(self, start_us: int) -> None:
        self.start = start_us
        self.counts = dict.fromkeys(RULES, 0)
        self.breaches: list[Breach] = []
        self.trail: deque[tuple[int, str, str, str]] = deque(maxlen=KEPT)

    def seen(self, now: int, what: str, request: str, instance: str) -> None:
        """An event that may be needed to tell what led to a breach."""
        self.trail.append((now, what, request, instance))

    def breach(self, now: int, rule: str, text: str, balancer: int, request: str, instance: str) -> None:
        self.counts[rule] += 1
        if len(self.breaches) >= TOLD:
            return
        led = [
            f"{(at - self.start) / 1e6:.6f} {what} {r} {i}".rstrip()
            for at, what, r, i in self.trail
            if request and r == request or instance and i == instance and not r
        ]
        if not request:
            led = [
                f"{(at - self.start) / 1e6:.6f} {what} {r} {i}".rstrip()
                for at, what, r, i in self.trail
                if i == instance
            ]
        self.breaches.append(Breach(rule, (now - self.start) / 1e6, text, balancer, request, instance, led[-SHOWN:]))
