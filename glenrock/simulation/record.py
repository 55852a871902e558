"""A run on disk: written beside and then renamed, so that nothing is ever half written.

summary.json     what came of it (docs/simulation.md lists the keys)
series.csv       one line a second
heat.csv         load of each instance, one line a second; -1 where it was down
histograms.json  HDR histograms, whole, in HdrHistogram's own base64 form
report.html      the same for people
"""

from __future__ import annotations

import csv
import json
import os
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

from ..toml_file import InputFileError
from .fleet_simulation import FleetSimulation
from .measure import Measure
from .spec import Experiment

OURS = ("summary.json", "sweep.json", "compare.json")  # a folder that holds one of these may be replaced


def text_of(x: Any) -> str:
    """JSON in the one form in which it is written: the same values give the same bytes."""
    return json.dumps(x, indent=1, sort_keys=True, ensure_ascii=False, allow_nan=False) + "\n"


def folder(out: Path, fill: Callable[[Path], None]) -> None:
    """Fills a new folder and puts it in the place of `out`. Raises InputFileError, and then leaves `out` as it was."""
    if out.exists() and not out.is_dir():
        raise InputFileError(f"{out}: not a folder")
    if out.is_dir() and any(out.iterdir()) and not any((out / name).exists() for name in OURS):
        raise InputFileError(f"{out}: holds other things than results; name another folder")
    beside = out.with_name(f".{out.name}.{os.getpid()}")
    try:
        out.parent.mkdir(parents=True, exist_ok=True)
        beside.mkdir()
    except OSError as bad:
        raise InputFileError(f"{out}: {bad.strerror or bad}") from None
    try:
        fill(beside)
        if out.exists():
            old = out.with_name(f".{out.name}.{os.getpid()}.old")
            out.rename(old)
            beside.rename(out)
            shutil.rmtree(old)
        else:
            beside.rename(out)
    except OSError as bad:
        raise InputFileError(f"{out}: {bad.strerror or bad}") from None
    finally:
        shutil.rmtree(beside, ignore_errors=True)


def file(path: Path, text: str) -> None:
    """One file, whole or not at all."""
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        beside.write_text(text, encoding="utf-8")
        beside.replace(path)
    except OSError as bad:
        raise InputFileError(f"{path}: {bad.strerror or bad}") from None
    finally:
        beside.unlink(missing_ok=True)


def write_run(into: Path, simulation: FleetSimulation, summary: dict[str, Any]) -> None:
    write_tables(into, simulation.measure, simulation.experiment, list(simulation.instances), summary)


def write_tables(into: Path, m: Measure, e: Experiment, instances: list[str], summary: dict[str, Any]) -> None:
    (into / "summary.json").write_text(text_of(summary), encoding="utf-8")
    served = np.array(m.earned)
    names = list(m.series)
    with open(into / "series.csv", "w", newline="", encoding="utf-8") as f:
        out = csv.writer(f)
        classes = [c.name for c in e.classes]
        out.writerow(
            ["second", "asked", "served", *(f"asked {c}" for c in classes), *(f"served {c}" for c in classes), *names]
        )
        for s in range(m.seconds):
            row = [
                m.asked[s].sum(),
                served[s].sum(),
                *m.asked[s],
                *served[s],
                *(m.series[n][s] if s < len(m.series[n]) else 0.0 for n in names),
            ]
            out.writerow([s, *(f"{v:.6g}" for v in row)])
    with open(into / "heat.csv", "w", newline="", encoding="utf-8") as f:
        out = csv.writer(f)
        out.writerow(["second", *instances])
        for s in range(m.seconds):
            out.writerow([s, *(f"{v:.3f}" for v in m.heat[:, s])])
    kept = {f"setup {c.name}": h.encode().decode() for c, h in zip(e.classes, m.waits, strict=True)}
    kept |= {"messages": m.messages.encode().decode(), "refusals": m.refusals.encode().decode()}
    (into / "histograms.json").write_text(text_of(kept), encoding="utf-8")


def read_summary(path: Path) -> dict[str, Any]:
    """Raises InputFileError for anything that is not a summary."""
    file_ = path / "summary.json" if path.is_dir() else path
    try:
        found = json.loads(file_.read_text(encoding="utf-8"))
    except OSError as bad:
        raise InputFileError(f"{file_}: {bad.strerror or bad}") from None
    except ValueError as bad:
        raise InputFileError(f"{file_}: {bad}") from None
    if not isinstance(found, dict) or found.get("format") != 1:
        raise InputFileError(f"{file_}: not a summary of this format (1)")
    return found


def read_table(path: Path) -> tuple[list[str], np.ndarray]:
    """A CSV of numbers, with its header."""
    try:
        with open(path, newline="", encoding="utf-8") as f:
            rows = list(csv.reader(f))
        return rows[0], np.array(rows[1:], dtype=float)
    except OSError as bad:
        raise InputFileError(f"{path}: {bad.strerror or bad}") from None
    except (ValueError, IndexError):
        raise InputFileError(f"{path}: not a table of numbers") from None
