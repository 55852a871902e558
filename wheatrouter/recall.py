"""What a balancer has learned of clients and a later start of it may know: the mean loads of their classes.

Not the cap, the shares or the servers' loads: these are of the moment, and wrong for the wave that a start
meets.
"""

from __future__ import annotations

from . import interface as io
from .estimates import MEAN_GAIN
from .records import Memory

MOST = round(1 / MEAN_GAIN)  # loads told that count: past that a mean forgets as fast as it learns


def told(m: Memory) -> dict[str, tuple[float, int]]:
    """By class ("": of all), the mean load of a connection and how many loads stand behind it."""
    return {name: (mean, min(count, MOST)) for name, (mean, count) in m.means.items()}


def take(m: Memory, settings: io.Settings, means: dict[str, tuple[float, int]]) -> None:
    """Starts from there, where nothing has been learned yet. Classes not in the settings are left out."""
    known = {"", *(c.name for c in settings.classes)}
    for name, (mean, count) in means.items():
        if name in known and name not in m.means and mean > 0:
            m.means[name] = mean, min(count, MOST)
    m.mean_load = m.means.get("", (m.mean_load, 0))[0]
