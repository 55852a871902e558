"""A table on the terminal that shows the state of a running scenario."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from rich.console import Console
from rich.live import Live
from rich.table import Table

from ..simulation.report_labels import FAULT_LABELS
from ..testbed.history_events import LineLogged

if TYPE_CHECKING:
    from ..testbed.balancer_process import BalancerProcess
    from ..testbed.modelled_servers import ModelledServer
    from ..testbed.scenario_testbed import ScenarioTestbed


MAX_SHOWN_LOG_CHARS = 60
MIN_CAPACITY = 1e-9  # microseconds of work per second; avoids a division by zero


class LiveTable:
    """Shows the table during a run.

    Args:
        is_shown: whether to show it; None to show it only if standard output is a terminal.
    """

    def __init__(self, is_shown: bool | None) -> None:
        if is_shown is None:
            is_shown = sys.stdout.isatty()
        self._display = Live(console=Console(), auto_refresh=False) if is_shown else None

    def __enter__(self) -> LiveTable:
        if self._display:
            self._display.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self._display:
            self._display.stop()

    def update(self, testbed: ScenarioTestbed) -> None:
        """Redraws the table. Called once per second of the run."""
        if self._display:
            self._display.update(build_table(testbed), refresh=True)


def build_table(testbed: ScenarioTestbed) -> Table:
    """Builds a table with the active faults in its title and one row per balancer."""
    progress = f"{testbed.clients.elapsed_s():.0f} of {testbed.length_s:.0f} s"
    table = Table(title=f"{testbed.scenario.name}, {progress}, {_active_faults_text(testbed)}")
    for column in ("balancer", "state", "connections", "process starts", "last log line"):
        table.add_column(column)
    for balancer in testbed.balancers:
        state = _state_text(testbed, balancer)
        connection_count = _count_connections(testbed, balancer.number)
        last_line = _last_log_line(testbed, balancer.party)[:MAX_SHOWN_LOG_CHARS]
        table.add_row(balancer.party, state, str(connection_count), str(balancer.incarnation), last_line)
    loads = " ".join(_load_text(server, testbed.engine.now) for server in testbed.servers)
    clients = f"{testbed.clients.connected()} clients connected, {testbed.clients.waiting()} waiting"
    table.caption = f"{clients}; load over capacity of each server: {loads}"
    return table


def _state_text(testbed: ScenarioTestbed, balancer: BalancerProcess) -> str:
    if balancer.is_paused:
        state = "paused"
    elif balancer.is_running:
        state = "up"
    else:
        state = "down"
    return state if balancer.number in testbed.frontend.ready else f"{state}, not in rotation"


def _count_connections(testbed: ScenarioTestbed, balancer: int) -> int:
    return sum(attempt.balancer == balancer for server in testbed.servers for attempt in server.open_attempts)


def _load_text(server: ModelledServer, now_us: int) -> str:
    """Returns a server's load as a fraction of its capacity; a dash if the server is down."""
    if not server.model.is_up:
        return "-"
    return f"{server.model.demand / max(MIN_CAPACITY, server.model.capacity(now_us)):.2f}"


def _active_faults_text(testbed: ScenarioTestbed) -> str:
    fault_texts = [
        f"{FAULT_LABELS.get(interval.kind, interval.kind)} ({', '.join(sorted(interval.parties)) or 'gossip'})"
        for interval in testbed.history.active_faults()
    ]
    return ", ".join(fault_texts) or "no active fault"


def _last_log_line(testbed: ScenarioTestbed, party: str) -> str:
    for event in reversed(testbed.history.events):
        if event.party == party and isinstance(event.data, LineLogged):
            return event.data.text
    return ""
