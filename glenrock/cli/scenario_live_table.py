"""The table that follows a run of a scenario."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from rich.console import Console
from rich.live import Live as Screen
from rich.table import Table

if TYPE_CHECKING:
    from ..testbed.scenario_testbed import ScenarioTestbed


class LiveTable:
    """Shows the table while a run goes on. `shown` None: only where standard output is a terminal."""

    def __init__(self, shown: bool | None) -> None:
        self.screen = (
            Screen(console=Console(), auto_refresh=False) if (sys.stdout.isatty() if shown is None else shown) else None
        )

    def __enter__(self) -> LiveTable:
        if self.screen:
            self.screen.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self.screen:
            self.screen.stop()

    def second(self, bed: ScenarioTestbed) -> None:
        """Called once a second."""
        if self.screen:
            self.screen.update(table_of(bed), refresh=True)


def table_of(bed: ScenarioTestbed) -> Table:
    """The table: a row for each balancer, with the faults that are on above it."""
    on = (
        ", ".join(f"{s.kind} ({', '.join(sorted(s.parties)) or 'datagrams'})" for s in bed.history.active_faults())
        or "no fault"
    )
    out = Table(title=f"{bed.scenario.name}, {bed.clients.elapsed_s():.0f} of {bed.length_s:.0f} s: {on}")
    for name in ("balancer", "state", "connections", "life", "last said"):
        out.add_column(name)
    for b in bed.balancers:
        state = "asleep" if b.is_paused else "up" if b.is_running else "down"
        state += "" if b.number in bed.frontend.ready else ", left out"
        held = sum(a.balancer == b.number for s in bed.servers for a in s.open_attempts)
        said = next(
            (e.data["text"] for e in reversed(bed.history.events) if e.kind == "log" and e.party == b.party), ""
        )
        out.add_row(b.party, state, str(held), str(b.incarnation), said[:60])
    loads = " ".join(
        f"{s.model.demand / max(1e-9, s.model.capacity(bed.engine.now)):.2f}" if s.model.up else "-"
        for s in bed.servers
    )
    out.caption = f"{bed.clients.connected()} clients stand, {bed.clients.waiting()} wait; loads {loads}"
    return out
