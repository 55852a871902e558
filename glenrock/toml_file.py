"""Reads TOML files. Error messages name the file, the line and the key.

Imports the standard library and msgspec only.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import msgspec

TargetT = TypeVar("TargetT")

# A validation error of msgspec: the problem, and the path of the value.
VALIDATION_MESSAGE_PATTERN = re.compile(r"(.*?)(?: - at `(\$[^`]*)`)?$", re.S)
UNKNOWN_FIELD_PATTERN = re.compile(r"Object contains unknown field `(.*)`")
# A step of a path such as `faults[1].part`: a name or an index.
PATH_STEP_PATTERN = re.compile(r"\.?([A-Za-z0-9_-]+)|\[(\d+)\]|\[\.\.\.\]")
# Lines of a TOML file.
TABLE_HEADER_PATTERN = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
KEY_PATTERN = re.compile(r"""\s*((?:[A-Za-z0-9_.-]|"[^"]*"|'[^']*')+)\s*=""")


class InputFileError(Exception):
    """An input file is invalid. The message has one line: file, line number if known, key, and the problem."""


class TomlFile(NamedTuple):
    """The parsed content of a file, and its text, which error messages need for line numbers."""

    content: dict[str, Any]
    text: str


class _Problem(NamedTuple):
    """A problem, and the path of the key that causes it; the path is empty if the whole file is invalid."""

    message: str
    key: str


def _unquote_key(key: str) -> str:
    """Returns a dotted key without quotes and blanks."""
    return ".".join(part.strip().strip("\"'") for part in key.split("."))


def line_numbers(text: str) -> dict[str, int]:
    """Returns the line number, from 1, of each table and key by its path, such as `faults[1].part`."""
    numbers: dict[str, int] = {}
    last_index_by_array: dict[str, int] = {}  # by name of an array of tables
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        if header := TABLE_HEADER_PATTERN.match(line):
            table = _resolve_array_tables(_unquote_key(header[2]), last_index_by_array)
            if header[1] == "[[":
                last_index_by_array[table] = last_index_by_array.get(table, -1) + 1
                table = f"{table}[{last_index_by_array[table]}]"
            numbers.setdefault(table, number)
        elif key := KEY_PATTERN.match(line):
            numbers.setdefault(f"{table}.{_unquote_key(key[1])}".lstrip("."), number)
    return numbers


def _resolve_array_tables(table: str, last_index_by_array: dict[str, int]) -> str:
    """Returns the path of a table with array indices: `[a.b]` after `[[a]]` belongs to the last entry of `a`."""
    for name, last in sorted(last_index_by_array.items()):
        if table.startswith(name + "."):
            table = f"{name}[{last}]" + table[len(name) :]
    return table


def find_line(text: str, path: str) -> int:
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
    """Returns an error about a key of a file, with the key's line number if it is found."""
    line = find_line(text, key)
    location = f"{path}:{line}" if line else f"{path}"
    return InputFileError(f"{location}: {key}: {problem}" if key else f"{location}: {problem}")


def convert(path: Path, text: str, raw: Any, target_type: type[TargetT]) -> TargetT:
    """Converts the parsed content to `target_type`.

    Raises:
        InputFileError: a value is invalid, or a key is unknown.
    """
    try:
        return msgspec.convert(raw, target_type)
    except msgspec.ValidationError as error:
        problem = _parse_validation_message(str(error))
        raise input_error(path, text, problem.key, problem.message) from error


def _parse_validation_message(validation_message: str) -> _Problem:
    match = VALIDATION_MESSAGE_PATTERN.match(validation_message)
    if match is None:
        return _Problem(validation_message, "")
    message = match[1]
    key = (match[2] or "").lstrip("$").lstrip(".")
    if unknown := UNKNOWN_FIELD_PATTERN.match(message):
        return _Problem("unknown key", f"{key}.{unknown[1]}".lstrip("."))
    return _Problem(message, key)
