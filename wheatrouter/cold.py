"""Servers that started lately: how much of them there is, and what a balancer may bring to them."""

from __future__ import annotations

from . import interface as io
from .records import Memory, Server
from .ring import MASK, mix

PART = 0.45  # of the cold budget used in any window: the rest is for chance, since balancers do not agree


def warmth(settings: io.Settings, s: Server, now: int) -> float:
    """The part of its capacity that a server surely has by now."""
    age = now - s.started_us
    if not s.started_us or age >= settings.cold_us:
        return 1.0
    return settings.cold_share + (1 - settings.cold_share) * max(0, age) / settings.cold_us


def fill(settings: io.Settings, s: Server, now: int) -> float:
    """The part of a server's capacity that all balancers together may have brought to it by now."""
    age = max(0, now - s.started_us) / max(1, settings.cold_us)
    return PART * settings.cold_multiple * age * (settings.cold_share + warmth(settings, s, now)) / 2


def room(m: Memory, settings: io.Settings, s: Server) -> float:
    """Load that this balancer may bring to a server that started lately.

    Danger: a cold server is pushed over by all balancers together. Each one's part is what it carries on a
    warm server, full, filled over the warm-up time: the parts add up to a server's fill however many
    balancers there are, and one that carries nothing yet sends nothing.
    """
    share = warmth(settings, s, m.now)
    if share >= 1:
        return float("inf")
    window = settings.cold_window_us
    part = PART * settings.cold_multiple * share * min(1.0, window / max(1, settings.cold_us))
    part /= (m.warm or max(1, len(m.servers))) * max(0.5, m.fleet)
    # Danger: with a budget for each spell, the end of one and the start of the next are two in one window.
    s.brought = [(at, load) for at, load in s.brought if m.now - at < window]
    left = part * m.standing - sum(load for _, load in s.brought)
    if not s.brought:
        # A part below one connection: one of any load passes in so many spells, drawn for each balancer and
        # spell. Saving up instead would let all balancers send at once.
        spell = (m.now - s.started_us) // window
        draw = max(1e-9, mix(s.code ^ m.salt ^ mix(spell)) / MASK)
        left = max(left, part * m.standing * min(1 / draw, settings.balancers / 2))
    return left


def send(m: Memory, settings: io.Settings, s: Server, load: float) -> None:
    """Load is on its way to a server."""
    if warmth(settings, s, m.now) < 1:
        s.brought.append((m.now, load))
