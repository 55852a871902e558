"""Writes and reads results. Each is written to a temporary path and renamed, so that it is complete or absent.

summary.json     the summary (docs/simulation.md lists the keys)
series.csv       time series, one row per second
heat.csv         load of each server as a fraction of its capacity, one row per second; -1 while it was down
histograms.json  HDR histograms in HdrHistogram's base64 form
report.html      the results as a page for readers
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
import numpy.typing as npt

from ..toml_file import InputFileError
from .fleet_simulation import FleetSimulation
from .measure import Measurements
from .spec_tables import Experiment

RESULT_FILES = ("summary.json", "sweep.json", "compare.json")  # a folder that contains one of these may be replaced
SUMMARY_FORMAT = 1


def json_text(value: Any) -> str:
    """Formats a result as JSON. Equal values give equal bytes."""
    return json.dumps(value, indent=1, sort_keys=True, ensure_ascii=False, allow_nan=False) + "\n"


def write_folder(out: Path, fill: Callable[[Path], None]) -> None:
    """Calls `fill` with a new temporary folder, then renames that folder to `out`.

    Raises:
        InputFileError: `out` cannot be replaced; it is left as it was.
    """
    if out.exists() and not out.is_dir():
        raise InputFileError(f"{out}: not a folder")
    if out.is_dir() and any(out.iterdir()) and not any((out / name).exists() for name in RESULT_FILES):
        raise InputFileError(f"{out}: holds other things than results; name another folder")
    temporary = out.with_name(f".{out.name}.{os.getpid()}")
    try:
        out.parent.mkdir(parents=True, exist_ok=True)
        temporary.mkdir()
    except OSError as error:
        raise InputFileError(f"{out}: {error.strerror or error}") from None
    try:
        fill(temporary)
        if out.exists():
            old = out.with_name(f".{out.name}.{os.getpid()}.old")
            out.rename(old)
            temporary.rename(out)
            shutil.rmtree(old)
        else:
            temporary.rename(out)
    except OSError as error:
        raise InputFileError(f"{out}: {error.strerror or error}") from None
    finally:
        shutil.rmtree(temporary, ignore_errors=True)


def write_file(path: Path, text: str) -> None:
    """Writes a file completely or not at all. Raises InputFileError if it cannot be written."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_text(text, encoding="utf-8")
        temporary.replace(path)
    except OSError as error:
        raise InputFileError(f"{path}: {error.strerror or error}") from None
    finally:
        temporary.unlink(missing_ok=True)


def write_run(folder: Path, simulation: FleetSimulation, summary: dict[str, Any]) -> None:
    """Writes the results of a run, without its report."""
    write_tables(folder, simulation.measure, simulation.experiment, list(simulation.servers), summary)


def write_tables(
    folder: Path, measure: Measurements, experiment: Experiment, server_names: list[str], summary: dict[str, Any]
) -> None:
    """Writes summary, time series, loads and histograms."""
    (folder / "summary.json").write_text(json_text(summary), encoding="utf-8")
    classes = [class_.name for class_ in experiment.classes]
    _write_series(folder / "series.csv", measure, classes)
    with open(folder / "heat.csv", "w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(["second", *server_names])
        for second in range(measure.seconds):
            writer.writerow([second, *(f"{load:.3f}" for load in measure.relative_loads[:, second])])
    histograms = {
        f"setup {name}": waits.encode().decode() for name, waits in zip(classes, measure.setup_waits, strict=True)
    }
    histograms |= {
        "messages": measure.messages.encode().decode(),
        "refusals": measure.rejections.encode().decode(),
    }
    (folder / "histograms.json").write_text(json_text(histograms), encoding="utf-8")


def _write_series(path: Path, measure: Measurements, classes: list[str]) -> None:
    served = np.array(measure.served)
    series_names = list(measure.series)
    with open(path, "w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        asked_names, served_names = [f"asked {name}" for name in classes], [f"served {name}" for name in classes]
        writer.writerow(["second", "asked", "served", *asked_names, *served_names, *series_names])
        for second in range(measure.seconds):
            row = [
                measure.demanded[second].sum(),
                served[second].sum(),
                *measure.demanded[second],
                *served[second],
                *(measure.series[name][second] if second < len(measure.series[name]) else 0.0 for name in series_names),
            ]
            writer.writerow([second, *(f"{value:.6g}" for value in row)])


def read_summary(path: Path) -> dict[str, Any]:
    """Reads the summary in a file or a folder. Raises InputFileError if there is none."""
    file = path / "summary.json" if path.is_dir() else path
    try:
        summary = json.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise InputFileError(f"{file}: {error.strerror or error}") from None
    except ValueError as error:
        raise InputFileError(f"{file}: {error}") from None
    if not isinstance(summary, dict) or summary.get("format") != SUMMARY_FORMAT:
        raise InputFileError(f"{file}: not a summary of this format ({SUMMARY_FORMAT})")
    return summary


def read_table(path: Path) -> tuple[list[str], npt.NDArray[np.float64]]:
    """Reads a CSV table of numbers. Returns its header and its rows. Raises InputFileError if it is not one."""
    try:
        with open(path, newline="", encoding="utf-8") as file:
            rows = list(csv.reader(file))
        return rows[0], np.array(rows[1:], dtype=float)
    except OSError as error:
        raise InputFileError(f"{path}: {error.strerror or error}") from None
    except (ValueError, IndexError):
        raise InputFileError(f"{path}: not a table of numbers") from None
