"""Reads TOML files, with errors that name the file, the line and the key.

Imports the standard library and msgspec only.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import msgspec

T = TypeVar("T")

# A message of msgspec: the problem, and the path of the value.
VALIDATION_MESSAGE = re.compile(r"(.*?)(?: - at `(\$[^`]*)`)?$", re.S)
UNKNOWN_FIELD_MESSAGE = re.compile(r"Object contains unknown field `(.*)`")
# A step of a path such as `faults[1].part`: a name or an index.
PATH_STEP = re.compile(r"\.?([A-Za-z0-9_-]+)|\[(\d+)\]|\[\.\.\.\]")
# Lines of a TOML file.
TABLE_HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
KEY = re.compile(r"""\s*((?:[A-Za-z0-9_.-]|"[^"]*"|'[^']*')+)\s*=""")


class InputFileError(Exception):
    """An input file is invalid. The message has one line: file, line number if known, key, and the problem."""


class TomlFile(NamedTuple):
    """The parsed content of a file, and its text, in which errors find the lines of keys."""

    content: dict[str, Any]
    text: str


class _Problem(NamedTuple):
    """A problem, and the path of the key that has it; empty if it is the whole file."""

    message: str
    key: str


def _unquoted(key: str) -> str:
    """Returns a dotted key without quotes and blanks."""
    return ".".join(part.strip().strip("\"'") for part in key.split("."))


def line_numbers(text: str) -> dict[str, int]:
    """Returns the line number, from 1, of each table and key by its path, such as `faults[1].part`."""
    numbers: dict[str, int] = {}
    last_indexes: dict[str, int] = {}  # by name of an array of tables
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        if header := TABLE_HEADER.match(line):
            table = _path_within_arrays(_unquoted(header[2]), last_indexes)
            if header[1] == "[[":
                last_indexes[table] = last_indexes.get(table, -1) + 1
                table = f"{table}[{last_indexes[table]}]"
            numbers.setdefault(table, number)
        elif key := KEY.match(line):
            numbers.setdefault(f"{table}.{_unquoted(key[1])}".lstrip("."), number)
    return numbers


def _path_within_arrays(table: str, last_indexes: dict[str, int]) -> str:
    """Returns the path of a table: `[a.b]` after `[[a]]` belongs to the last entry of `a`."""
    for name, last in sorted(last_indexes.items()):
        if table.startswith(name + "."):
            table = f"{name}[{last}]" + table[len(name) :]
    return table


def line_of(text: str, path: str) -> int:
    """Returns the line number of the path, or of the nearest table that contains it; 0 if there is none."""
    numbers = line_numbers(text)
    while path:
        if path in numbers:
            return numbers[path]
        path = _parent(path)
    return 0


def _parent(path: str) -> str:
    if "." in path or "[" not in path:
        return path.rpartition(".")[0]
    return path[: path.rindex("[")]


def read(path: Path) -> TomlFile:
    """Reads and parses a file.

    Raises:
        InputFileError: the file cannot be read, or its content is not TOML.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return TomlFile(tomllib.loads(text), text)
    except OSError as error:
        raise InputFileError(f"{path}: {error.strerror or error}") from error
    except UnicodeDecodeError as error:
        raise InputFileError(f"{path}: not UTF-8 at byte {error.start}") from error
    except tomllib.TOMLDecodeError as error:
        raise InputFileError(f"{path}: {error}") from error


def input_error(path: Path, text: str, key: str, problem: str) -> InputFileError:
    """Returns the error for a key of a file, with the line number of the key."""
    line = line_of(text, key)
    place = f"{path}:{line}" if line else f"{path}"
    return InputFileError(f"{place}: {key}: {problem}" if key else f"{place}: {problem}")


def convert(path: Path, text: str, raw: Any, kind: type[T]) -> T:
    """Returns the parsed content as a value of that type.

    Raises:
        InputFileError: a value is invalid, or a key is unknown.
    """
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        problem = _problem_of(str(error))
        raise input_error(path, text, problem.key, problem.message) from error


def _problem_of(validation_message: str) -> _Problem:
    found = VALIDATION_MESSAGE.match(validation_message)
    if found is None:
        return _Problem(validation_message, "")
    message = found[1]
    key = (found[2] or "").lstrip("$").lstrip(".")
    if unknown := UNKNOWN_FIELD_MESSAGE.match(message):
        return _Problem("not a key that is known here", f"{key}.{unknown[1]}".lstrip("."))
    return _Problem(message, key)
