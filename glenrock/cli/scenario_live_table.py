"""A table on the terminal that follows a run of a scenario."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from rich.console import Console
from rich.live import Live
from rich.table import Table

from ..testbed.history_events import LineLogged

if TYPE_CHECKING:
    from ..testbed.balancer_process import BalancerProcess
    from ..testbed.modelled_servers import ModelledServer
    from ..testbed.scenario_testbed import ScenarioTestbed


MAX_LOG_LINE_LENGTH = 60  # characters shown
MIN_CAPACITY = 1e-9


class LiveTable:
    """Shows the table during a run. `is_shown` None: only if standard output is a terminal."""

    def __init__(self, is_shown: bool | None) -> None:
        if is_shown is None:
            is_shown = sys.stdout.isatty()
        self._screen = Live(console=Console(), auto_refresh=False) if is_shown else None

    def __enter__(self) -> LiveTable:
        if self._screen:
            self._screen.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self._screen:
            self._screen.stop()

    def update(self, bed: ScenarioTestbed) -> None:
        """Draws the table again. Called once a second."""
        if self._screen:
            self._screen.update(table_of(bed), refresh=True)


def table_of(bed: ScenarioTestbed) -> Table:
    """Returns a table with the active faults and one row for each balancer."""
    title = f"{bed.scenario.name}, {bed.clients.elapsed_s():.0f} of {bed.length_s:.0f} s: {_active_faults(bed)}"
    table = Table(title=title)
    for column in ("balancer", "state", "connections", "incarnation", "last log line"):
        table.add_column(column)
    for balancer in bed.balancers:
        state = _state_text(bed, balancer)
        connection_count = _count_connections(bed, balancer.number)
        last_line = _last_log_line(bed, balancer.party)[:MAX_LOG_LINE_LENGTH]
        table.add_row(balancer.party, state, str(connection_count), str(balancer.incarnation), last_line)
    loads = " ".join(_load_text(server, bed.engine.now) for server in bed.servers)
    table.caption = f"{bed.clients.connected()} clients connected, {bed.clients.waiting()} waiting; loads {loads}"
    return table


def _state_text(bed: ScenarioTestbed, balancer: BalancerProcess) -> str:
    if balancer.is_paused:
        state = "paused"
    elif balancer.is_running:
        state = "up"
    else:
        state = "down"
    return state if balancer.number in bed.frontend.ready else f"{state}, not in rotation"


def _count_connections(bed: ScenarioTestbed, balancer: int) -> int:
    return sum(attempt.balancer == balancer for server in bed.servers for attempt in server.open_attempts)


def _load_text(server: ModelledServer, now_us: int) -> str:
    """Returns a server's load as a part of its capacity; a dash if it is down."""
    if not server.model.is_up:
        return "-"
    return f"{server.model.demand / max(MIN_CAPACITY, server.model.capacity(now_us)):.2f}"


def _active_faults(bed: ScenarioTestbed) -> str:
    faults = [
        f"{interval.kind} ({', '.join(sorted(interval.parties)) or 'datagrams'})"
        for interval in bed.history.active_faults()
    ]
    return ", ".join(faults) or "no fault"


def _last_log_line(bed: ScenarioTestbed, party: str) -> str:
    for event in reversed(bed.history.events):
        if event.party == party and isinstance(event.data, LineLogged):
            return event.data.text
    return ""
