"""Experiment files: reads, merges and checks them.

The tables are in `spec_tables` and `spec_faults`, the format in docs/simulation.md. An experiment is checked as a whole
before a run begins; `InputFileError` names file, line and key.
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
    """Merges tables key by key; any other value of `over`, also a list, replaces that of `base`."""
    merged = dict(base)
    for key, value in over.items():
        both_are_tables = isinstance(value, dict) and isinstance(merged.get(key), dict)
        merged[key] = merge(merged[key], value) if both_are_tables else value
    return merged


def read_raw(path: Path, seen: tuple[Path, ...] = ()) -> tuple[dict[str, Any], str]:
    """Reads a file merged over its bases. Returns the table and the text. Raises InputFileError."""
    raw, text = toml_file.read(path)
    base = raw.pop("base", None)
    if base is None:
        return raw, text
    if not isinstance(base, str):
        raise input_error(path, text, "base", "expected the name of a file")
    base_path = (path.parent / base).resolve()
    if base_path in seen or base_path == path.resolve():
        raise input_error(path, text, "base", f"{base} leads back to this file")
    base_raw, _ = read_raw(base_path, (*seen, path.resolve()))
    base_raw.pop("sweep", None)  # an experiment does not inherit axes
    return merge(base_raw, raw), text


def _read_with_overrides(path: Path, overrides: dict[str, Any] | None) -> tuple[dict[str, Any], str]:
    raw, text = read_raw(path)
    for key, value in (overrides or {}).items():
        raw = replace_value(raw, key, value, path)
    return raw, text


def load(path: Path, overrides: dict[str, Any] | None = None) -> Experiment:
    """Reads and checks an experiment, at each value of its axes too. Raises InputFileError."""
    raw, text = _read_with_overrides(path, overrides)
    experiment = toml_file.convert(path, text, raw, Experiment)
    check_experiment(experiment, path, text)
    for key, values in experiment.sweep.items():
        for value in values:
            _check_axis_value(raw, key, value, path, text)
    return experiment


def sweep_points(path: Path, overrides: dict[str, Any] | None = None) -> list[tuple[dict[str, Any], Experiment]]:
    """Returns each point of the sweep, as values by path, with its experiment; one empty point without a sweep."""
    axes = load(path, overrides).sweep
    raw, text = _read_with_overrides(path, overrides)
    found: list[tuple[dict[str, Any], dict[str, Any]]] = [({}, raw)]
    for key, values in axes.items():
        found = [
            ({**where, key: value}, replace_value(raw_there, key, value, path))
            for where, raw_there in found
            for value in values
        ]
    return [(where, _convert_and_check(raw_there, path, text)) for where, raw_there in found]


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
    steps = [name or int(number) for name, number in toml_file.PATH_STEP.findall(key)]
    table: Any = changed
    missing = InputFileError(f"{path}: {key}: there is nothing at this path")
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
