"""Set-ups a second, limited only while many of them fail: at their store, which all servers call.

Danger: a mass return on a slow store fails everywhere, and each failure is tried again at once; so the rate
falls to what lately succeeded, and what is past it waits. Never below the usual arrivals.
"""

from __future__ import annotations

from .records import Memory

S = 1_000_000  # microseconds in a second


def learn(m: Memory, round_us: int) -> None:
    """Once a round: the rate, and how many set-ups it allows in the next one."""
    per_s = S / round_us
    m.usual += (m.arrivals * per_s - m.usual) * 0.05
    if len(m.ill_at) >= 3 and m.ill > m.well / 3:
        m.rate = max(m.usual, 1.0, 0.9 * per_s * m.well)
    elif m.rate < float("inf"):
        m.rate = m.rate * 1.1 + 0.5
        if m.rate > 40 * max(1.0, m.usual):
            m.rate = float("inf")
    m.setups = min(m.rate, max(0.0, m.setups) + m.rate / per_s)
    m.arrivals = m.ill = m.well = 0
    m.ill_at.clear()
