"""Metrics as text, in the form that Prometheus scrapes (exposition format, version 0.0.4). No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ..net.metrics import ConnectionOutcome, RejectReason

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
    "rejected": "Connections that had another answer than UP, by reason.",
    "system_errors": "Calls that failed for reasons of this machine's own, by errno.",
    "descriptors": "Descriptors set aside or in use, by purpose.",
    "descriptor_limit": "Descriptors that this process may have open.",
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
        rejected: connections with another answer than UP, by reason.
        system_errors: failed calls of this machine, by the name of their errno.
        descriptors: set aside or in use, by purpose. `descriptor_limit`: open at a time, at most.
    """

    outcomes: Mapping[ConnectionOutcome, Mapping[str, int]]
    relayed: int
    open_requests: int
    registry_entries: int
    out_of_rotation: int
    rejected: Mapping[RejectReason, int] = field(default_factory=dict)
    system_errors: Mapping[str, int] = field(default_factory=dict)
    descriptors: Mapping[str, int] = field(default_factory=dict)
    descriptor_limit: int = 0

    def text(self) -> str:
        """The exposition text, ending with a line feed."""
        lines: list[str] = []
        for outcome, counts in self.outcomes.items():
            lines += _headers(outcome, "counter")
            lines += [f'app_{outcome}{{priority="{_escaped(name)}"}} {count}' for name, count in counts.items()]
        lines += _headers("relayed", "counter")
        lines.append(f"app_relayed {self.relayed}")
        lines += _labelled("rejected", "counter", "reason", self.rejected)
        lines += _labelled("system_errors", "counter", "errno", self.system_errors)
        lines += _labelled("descriptors", "gauge", "purpose", self.descriptors)
        gauges = {
            "descriptor_limit": self.descriptor_limit,
            "open_requests": self.open_requests,
            "registry_entries": self.registry_entries,
            "out_of_rotation": self.out_of_rotation,
        }
        for name, value in gauges.items():
            lines += _headers(name, "gauge")
            lines.append(f"app_{name} {value}")
        return "\n".join(lines) + "\n"


def _labelled(name: str, metric_type: str, label: str, values: Mapping[Any, int]) -> list[str]:
    rows = [f'app_{name}{{{label}="{_escaped(key)}"}} {value}' for key, value in sorted(values.items())]
    return [*_headers(name, metric_type), *rows]


def _headers(name: str, metric_type: str) -> list[str]:
    return [f"# HELP app_{name} {HELP[name]}", f"# TYPE app_{name} {metric_type}"]


def _escaped(label_value: str) -> str:
    return label_value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
