"""The table that follows a run of a stage."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from rich.console import Console
from rich.live import Live as Screen
from rich.table import Table

if TYPE_CHECKING:
    from ..stage.run import Stage


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

    def second(self, stage: Stage) -> None:
        """Called once a second."""
        if self.screen:
            self.screen.update(table_of(stage), refresh=True)


def table_of(stage: Stage) -> Table:
    """The table: a row for each balancer, with the faults that are on above it."""
    on = ", ".join(f"{s.kind} ({', '.join(sorted(s.parties)) or 'datagrams'})" for s in stage.faults.on) or "no fault"
    out = Table(title=f"{stage.scene.name}, {stage.clients.seconds():.0f} of {stage.length_s:.0f} s: {on}")
    for name in ("balancer", "state", "connections", "life", "last said"):
        out.add_column(name)
    for b in stage.balancers:
        state = "asleep" if b.paused else "up" if b.up else "down"
        state += "" if b.number in stage.front.known else ", left out"
        held = sum(a.balancer == b.number for s in stage.instances for a in s.open_now)
        said = next((e.data["text"] for e in reversed(stage.history.events) if e.what == "log" and e.who == b.name), "")
        out.add_row(b.name, state, str(held), str(b.lives), said[:60])
    loads = " ".join(
        f"{s.model.demand / max(1e-9, s.model.capacity(stage.engine.now)):.2f}" if s.model.up else "-"
        for s in stage.instances
    )
    out.caption = f"{stage.clients.standing()} clients stand, {stage.clients.waiting()} wait; loads {loads}"
    return out
