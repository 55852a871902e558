"""The figures as text, in the form that Prometheus scrapes (version 0.0.4). No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

KIND = "text/plain; version=0.0.4; charset=utf-8"
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
class Figures:
    outcomes: Mapping[str, Mapping[str, int]]  # by outcome, by class
    relayed: int
    open_requests: int
    registry_entries: int
    out_of_rotation: int

    def text(self) -> str:
        out: list[str] = []
        for outcome, classes in self.outcomes.items():
            head(out, outcome, "counter")
            out += [f'app_{outcome}{{priority="{escaped(name)}"}} {count}' for name, count in classes.items()]
        head(out, "relayed", "counter")
        out.append(f"app_relayed {self.relayed}")
        for name in ("open_requests", "registry_entries", "out_of_rotation"):
            head(out, name, "gauge")
            out.append(f"app_{name} {getattr(self, name)}")
        return "\n".join(out) + "\n"


def head(out: list[str], name: str, kind: str) -> None:
    out += [f"# HELP app_{name} {HELP[name]}", f"# TYPE app_{name} {kind}"]


def escaped(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
