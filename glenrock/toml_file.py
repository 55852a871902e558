"""TOML files with faults told by file, line and key. The one way in which the project reads TOML.

May import the standard library and msgspec.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
# Of msgspec's messages: what is wrong, and the path of the value.
MESSAGE = re.compile(r"(.*?)(?: - at `(\$[^`]*)`)?$", re.S)
UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(.*)`")
# A step of a path such as `faults[1].part`: a name, or an index.
PATH_STEP = re.compile(r"\.?([A-Za-z0-9_-]+)|\[(\d+)\]|\[\.\.\.\]")
# Of TOML lines.
HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
KEY = re.compile(r"""\s*((?:[A-Za-z0-9_.-]|"[^"]*"|'[^']*')+)\s*=""")


class InputFileError(Exception):
    """Bad input, told in one line: file, line where it is known, key, and what is wrong."""


def _plain(key: str) -> str:
    """A dotted key without quotes and blanks."""
    return ".".join(part.strip().strip("\"'") for part in key.split("."))


def places(text: str) -> dict[str, int]:
    """The line, from 1 on, of each table and key, by its path such as `faults[1].part`."""
    lines: dict[str, int] = {}
    last_entries: dict[str, int] = {}  # of arrays of tables, by name: the index of the latest entry
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        if header := HEADER.match(line):
            table = _inside_arrays(_plain(header[2]), last_entries)
            if header[1] == "[[":
                last_entries[table] = last_entries.get(table, -1) + 1
                table = f"{table}[{last_entries[table]}]"
            lines.setdefault(table, number)
        elif key := KEY.match(line):
            lines.setdefault(f"{table}.{_plain(key[1])}".lstrip("."), number)
    return lines


def _inside_arrays(table: str, last_entries: dict[str, int]) -> str:
    """After `[[a]]`, a table `[a.b]` is one of the latest entry of `a`."""
    for name, last in sorted(last_entries.items()):
        if table.startswith(name + "."):
            table = f"{name}[{last}]" + table[len(name) :]
    return table


def line_of(text: str, path: str) -> int:
    """The line of that path, or of the nearest table round it; 0 where there is none."""
    lines = places(text)
    while path:
        if path in lines:
            return lines[path]
        path = _parent(path)
    return 0


def _parent(path: str) -> str:
    if "." in path or "[" not in path:
        return path.rpartition(".")[0]
    return path[: path.rindex("[")]


def read(path: Path) -> tuple[dict[str, Any], str]:
    """The file's content, and its text.

    Raises:
        InputFileError: it cannot be read, or is no TOML.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return tomllib.loads(text), text
    except OSError as error:
        raise InputFileError(f"{path}: {error.strerror or error}") from error
    except UnicodeDecodeError as error:
        raise InputFileError(f"{path}: not UTF-8 at byte {error.start}") from error
    except tomllib.TOMLDecodeError as error:
        raise InputFileError(f"{path}: {error}") from error


def fault(path: Path, text: str, key: str, what: str) -> InputFileError:
    """The error for a faulty key, with the line where it stands."""
    line = line_of(text, key)
    where = f"{path}:{line}" if line else f"{path}"
    return InputFileError(f"{where}: {key}: {what}" if key else f"{where}: {what}")


def convert(path: Path, text: str, raw: Any, kind: type[T]) -> T:
    """`raw` as that type.

    Raises:
        InputFileError: with the path of the faulty key.
    """
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        what, key = _parts_of(str(error))
        raise fault(path, text, key, what) from error


def _parts_of(message: str) -> tuple[str, str]:
    """What is wrong, and the key at fault, from msgspec's message."""
    found = MESSAGE.match(message)
    what = found[1] if found else message
    key = (found[2] or "$" if found else "$").lstrip("$").lstrip(".")
    if unknown := UNKNOWN_FIELD.match(what):
        return "not a key that is known here", f"{key}.{unknown[1]}".lstrip(".")
    return what, key
