"""Formats metrics as Prometheus text (exposition format, version 0.0.4). No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ..net.metrics import ConnectionOutcome, FinalAnswerReason

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
HELP = {
    "fulfilled": "Client connections that were established (UP).",
    "throttled": "Client connections that were rejected (BUSY).",
    "faulted": "Client connections that failed (ERR).",
    "left": "Client connections that the client closed before an answer.",
    "relayed": "Attempts that were written completely to a session server.",
    "open_requests": "Open client connections.",
    "registry_entries": "Session servers in the endpoint list, draining ones included.",
    "out_of_rotation": "Listed session servers that receive no new connections now.",
    "rejected": "Client connections whose final answer was not UP, by reason.",
    "system_errors": "System calls that failed for a reason of this machine, by errno.",
    "descriptors": "Descriptors reserved or in use, by purpose.",
    "descriptor_limit": "Most descriptors that this process may have open.",
}


@dataclass(frozen=True)
class MetricsSnapshot:
    """The metrics at one moment.

    Attributes:
        outcomes: how many connections have been answered or left, by outcome and by class.
        attempts_written: how many attempts were written completely to a server.
        open_requests: connections that are accepted and have not ended.
        registry_entries: servers in the endpoint list.
        out_of_rotation: servers in the endpoint list that get no new connections now.
        final_answers: how many connections got another answer than `UP`, by reason.
        system_errors: how many system calls failed for a reason of this machine, by the name of the errno.
        descriptors: reserved or in use, by purpose.
        descriptor_limit: how many descriptors this process may have open.
    """

    outcomes: Mapping[ConnectionOutcome, Mapping[str, int]]
    attempts_written: int
    open_requests: int
    registry_entries: int
    out_of_rotation: int
    final_answers: Mapping[FinalAnswerReason, int] = field(default_factory=dict)
    system_errors: Mapping[str, int] = field(default_factory=dict)
    descriptors: Mapping[str, int] = field(default_factory=dict)
    descriptor_limit: int = 0

    def text(self) -> str:
        """Returns the exposition text, ending with a line feed."""
        lines: list[str] = []
        for outcome, counts in self.outcomes.items():
            lines += _header_lines(outcome, "counter")
            lines += [
                f'app_{outcome}{{priority="{_escape(class_name)}"}} {count}' for class_name, count in counts.items()
            ]
        lines += _header_lines("relayed", "counter")
        lines.append(f"app_relayed {self.attempts_written}")
        lines += _labelled_lines("rejected", "counter", "reason", self.final_answers)
        lines += _labelled_lines("system_errors", "counter", "errno", self.system_errors)
        lines += _labelled_lines("descriptors", "gauge", "purpose", self.descriptors)
        gauges = {
            "descriptor_limit": self.descriptor_limit,
            "open_requests": self.open_requests,
            "registry_entries": self.registry_entries,
            "out_of_rotation": self.out_of_rotation,
        }
        for name, value in gauges.items():
            lines += _header_lines(name, "gauge")
            lines.append(f"app_{name} {value}")
        return "\n".join(lines) + "\n"


def _labelled_lines(name: str, metric_type: str, label: str, values: Mapping[Any, int]) -> list[str]:
    rows = [f'app_{name}{{{label}="{_escape(key)}"}} {value}' for key, value in sorted(values.items())]
    return [*_header_lines(name, metric_type), *rows]


def _header_lines(name: str, metric_type: str) -> list[str]:
    return [f"# HELP app_{name} {HELP[name]}", f"# TYPE app_{name} {metric_type}"]


def _escape(label_value: str) -> str:
    return label_value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
