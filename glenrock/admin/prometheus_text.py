"""Metrics as text, in the form that Prometheus scrapes (exposition format, version 0.0.4). No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..net.metrics import ConnectionOutcome

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
HELP = {
    "fulfilled": "Connections brought up.",
    "throttled": "Connections refused.",
    "faulted": "Connections failed.",
    "left": "Connections whose client left before an answer.",
    "relayed": "Attempts written whole to session servers.",
    "open_requests": "Connections taken and not ended.",
    "registry_entries": "Session servers in the list.",
    "out_of_rotation": "Session servers in the list that are avoided now, by hand or by choice.",
}


@dataclass(frozen=True)
class MetricsSnapshot:
    """The metrics at one moment.

    Attributes:
        outcomes: connections ended, by outcome and by class.
        relayed: attempts written whole to servers.
        open_requests: connections taken and not ended.
        registry_entries: servers in the endpoint list.
        out_of_rotation: of them, those avoided now.
    """

    outcomes: Mapping[ConnectionOutcome, Mapping[str, int]]
    relayed: int
    open_requests: int
    registry_entries: int
    out_of_rotation: int

    def text(self) -> str:
        """The exposition text, ending with a line feed."""
        lines: list[str] = []
        for outcome, counts in self.outcomes.items():
            lines += _headers(outcome, "counter")
            lines += [f'app_{outcome}{{priority="{_escaped(name)}"}} {count}' for name, count in counts.items()]
        lines += _headers("relayed", "counter")
        lines.append(f"app_relayed {self.relayed}")
        gauges = {
            "open_requests": self.open_requests,
            "registry_entries": self.registry_entries,
            "out_of_rotation": self.out_of_rotation,
        }
        for name, value in gauges.items():
            lines += _headers(name, "gauge")
            lines.append(f"app_{name} {value}")
        return "\n".join(lines) + "\n"


def _headers(name: str, metric_type: str) -> list[str]:
    return [f"# HELP app_{name} {HELP[name]}", f"# TYPE app_{name} {metric_type}"]


def _escaped(label_value: str) -> str:
    return label_value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
