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
PATH = re.compile(r"(.*?)(?: - at `(\$[^`]*)`)?$", re.S)
STEP = re.compile(r"\.?([A-Za-z0-9_-]+)|\[(\d+)\]|\[\.\.\.\]")
HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
KEY = re.compile(r"""\s*((?:[A-Za-z0-9_.-]|"[^"]*"|'[^']*')+)\s*=""")
UNKNOWN = re.compile(r"Object contains unknown field `(.*)`")


class BadFile(Exception):
    """Bad input, told in one line: file, line where it is known, key, and what is wrong."""


def plain(key: str) -> str:
    return ".".join(part.strip().strip("\"'") for part in key.split("."))


def places(text: str) -> dict[str, int]:
    """The line, from 1 on, of each table and key, by its path such as `faults[1].part`."""
    found: dict[str, int] = {}
    arrays: dict[str, int] = {}
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        if header := HEADER.match(line):
            table = plain(header[2])
            for name, last in sorted(arrays.items()):  # [[a]] then [a.b]: the last a is meant
                if table.startswith(name + "."):
                    table = f"{name}[{last}]" + table[len(name):]
            if header[1] == "[[":
                arrays[table] = arrays.get(table, -1) + 1
                table = f"{table}[{arrays[table]}]"
            found.setdefault(table, number)
        elif key := KEY.match(line):
            found.setdefault(f"{table}.{plain(key[1])}".lstrip("."), number)
    return found


def line_of(text: str, path: str) -> int:
    """The line of that path, or of the nearest table round it; 0 where there is none."""
    where = places(text)
    while path:
        if path in where:
            return where[path]
        path = path.rpartition(".")[0] if "." in path or "[" not in path else path[:path.rindex("[")]
    return 0


def read(path: Path) -> tuple[dict[str, Any], str]:
    """The file's content, and its text. Raises BadFile."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as bad:
        raise BadFile(f"{path}: {bad.strerror or bad}") from None
    except UnicodeDecodeError as bad:
        raise BadFile(f"{path}: not UTF-8 at byte {bad.start}") from None
    try:
        return tomllib.loads(text), text
    except tomllib.TOMLDecodeError as bad:
        raise BadFile(f"{path}: {bad}") from None


def fault(path: Path, text: str, key: str, what: str) -> BadFile:
    line = line_of(text, key)
    return BadFile(f"{path}{f':{line}' if line else ''}: {key + ': ' if key else ''}{what}")


def convert(path: Path, text: str, raw: Any, kind: type[T]) -> T:
    """`raw` as that type. Raises BadFile with the path of the faulty key."""
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as bad:
        what, key = PATH.match(str(bad)).groups()  # type: ignore[union-attr]
        key = (key or "$").lstrip("$").lstrip(".")
        if unknown := UNKNOWN.match(what):
            key, what = f"{key}.{unknown[1]}".lstrip("."), "not a key that is known here"
        raise fault(path, text, key, what) from None
