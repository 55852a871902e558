"""Reads, merges and checks experiment files.

`spec_tables` and `spec_faults` define the tables; docs/simulation.md describes the format. An experiment is checked as
a whole before a run begins; `InputFileError` names the file, the line and the key.
"""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

from .. import toml_file
from ..toml_file import InputFileError, input_error
from .spec_checks import check_experiment
from .spec_tables import Experiment


def merge(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """Merges tables key by key; any other value of `over`, lists too, replaces that of `base`."""
    merged = dict(base)
    for key, value in over.items():
        both_are_tables = isinstance(value, dict) and isinstance(merged.get(key), dict)
        merged[key] = merge(merged[key], value) if both_are_tables else value
    return merged


def read_raw(path: Path, seen: tuple[Path, ...] = ()) -> tuple[dict[str, Any], str]:
    """Reads a file and merges it over its base files. Returns the table and the text of the file.

    Raises:
        InputFileError: a file cannot be read, or the base files form a cycle.
    """
    raw, text = toml_file.read(path)
    base = raw.pop("base", None)
    if base is None:
        return raw, text
    if not isinstance(base, str):
        raise input_error(path, text, "base", "expected the name of a file")
    base_path = (path.parent / base).resolve()
    if base_path in seen or base_path == path.resolve():
        raise input_error(path, text, "base", f"{base} leads back to this file: base files form a cycle")
    base_raw, _ = read_raw(base_path, (*seen, path.resolve()))
    base_raw.pop("sweep", None)  # the axes of a sweep are not inherited
    return merge(base_raw, raw), text


def _read_with_overrides(path: Path, overrides: dict[str, Any] | None) -> tuple[dict[str, Any], str]:
    raw, text = read_raw(path)
    for key, value in (overrides or {}).items():
        raw = replace_value(raw, key, value, path)
    return raw, text


def load(path: Path, overrides: dict[str, Any] | None = None) -> Experiment:
    """Reads an experiment, and checks it, also with each value of its sweep axes. Raises InputFileError."""
    raw, text = _read_with_overrides(path, overrides)
    experiment = toml_file.convert(path, text, raw, Experiment)
    check_experiment(experiment, path, text)
    for key, values in experiment.sweep.items():
        for value in values:
            _check_axis_value(raw, key, value, path, text)
    return experiment


def sweep_points(path: Path, overrides: dict[str, Any] | None = None) -> list[tuple[dict[str, Any], Experiment]]:
    """Returns each point of the sweep, as values by path, with its experiment.

    Without a sweep there is one point, which has no values. Raises InputFileError.
    """
    axes = load(path, overrides).sweep
    raw, text = _read_with_overrides(path, overrides)
    points: list[tuple[dict[str, Any], dict[str, Any]]] = [({}, raw)]
    for key, values in axes.items():
        points = [
            ({**point, key: value}, replace_value(point_raw, key, value, path))
            for point, point_raw in points
            for value in values
        ]
    return [(point, _convert_and_check(point_raw, path, text)) for point, point_raw in points]


def _convert_and_check(raw: dict[str, Any], path: Path, text: str) -> Experiment:
    experiment = toml_file.convert(path, text, raw, Experiment)
    check_experiment(experiment, path, text)
    return experiment


def _check_axis_value(raw: dict[str, Any], key: str, value: Any, path: Path, text: str) -> None:
    """Checks the experiment with one value of an axis. Raises InputFileError that names the axis."""
    try:
        _convert_and_check(replace_value(raw, key, value, path), path, text)
    except InputFileError as error:
        reason = str(error).split(": ", 1)[1]
        raise input_error(path, text, "sweep", f"{key} = {value!r}: {reason}") from None


def replace_value(raw: dict[str, Any], key: str, value: Any, path: Path) -> dict[str, Any]:
    """Returns a copy with the value at a path (`traffic.load`, `faults[0].part`) replaced. Raises InputFileError."""
    changed = copy.deepcopy(raw)
    steps = [name or int(number) for name, number in toml_file.PATH_STEP_PATTERN.findall(key)]
    table: Any = changed
    missing = InputFileError(f"{path}: {key}: no value at this path")
    for number, step in enumerate(steps[:-1]):
        if isinstance(table, dict) and step not in table and isinstance(steps[number + 1], str):
            table[step] = {}
        try:
            table = table[step]
        except (KeyError, IndexError, TypeError):
            raise missing from None
    if isinstance(table, list) and isinstance(steps[-1], int) and not 0 <= steps[-1] < len(table):
        raise missing
    try:
        table[steps[-1]] = value
    except (IndexError, TypeError):
        raise missing from None
    return changed
