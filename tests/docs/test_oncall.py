"""Each message that the program logs has a row on docs/oncall.md, with the level that it is logged at."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = [
    *(
        path
        for part in ("net", "coordination", "upgrade", "admin")
        for path in (ROOT / "glenrock" / part).rglob("*.py")
    ),
    ROOT / "glenrock/__main__.py",
    ROOT / "glenrock/config.py",
    ROOT / "glenrock/durable_file.py",
    ROOT / "glenrock/program.py",
]
LEVELS = {
    "debug": "DEBUG",
    "info": "INFO",
    "warning": "WARNING",
    "error": "ERROR",
    "exception": "ERROR",
    "critical": "CRITICAL",
}
ROW = re.compile(r"\| (DEBUG|INFO|WARNING|ERROR|CRITICAL) \| `([^`]+)` \| [^|]+ \| [^|]+ \| [^|]+ \|")
PAGE = (ROOT / "docs/oncall.md").read_text()


class LogCall(NamedTuple):
    """Holds a call of a logger, with its place in the code."""

    place: str
    level: str
    node: ast.Call


class LoggedMessage(NamedTuple):
    """Holds a message, and the level that it is logged at."""

    level: str
    text: str


def log_calls() -> Iterator[LogCall]:
    """Yields all calls of a logger, whatever the logger's name."""
    for path in PROGRAM:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            if node.func.attr in LEVELS and "log" in ast.unparse(node.func.value).lower():
                yield LogCall(f"{path}:{node.lineno}", LEVELS[node.func.attr], node)


def logged_messages() -> set[LoggedMessage]:
    """Returns the messages of all calls of a logger, and checks the form of each call."""
    found = set()
    for place, level, node in log_calls():
        assert len(node.args) == 1 and all(keyword.arg for keyword in node.keywords), f"{place}: a message, and fields"
        message = node.args[0]
        assert isinstance(message, ast.Constant) and isinstance(message.value, str), f"{place}: a constant message"
        found.add(LoggedMessage(level, message.value))
    return found


def rows() -> list[LoggedMessage]:
    """Returns the rows of the page's tables of messages."""
    return [LoggedMessage(row[1], row[2]) for line in PAGE.splitlines() if (row := ROW.fullmatch(line))]


def test_each_message_has_a_row_with_its_level_and_each_row_has_a_message() -> None:
    assert logged_messages() - set(rows()) == set(), "no row"
    assert set(rows()) - logged_messages() == set(), "no such message"


def test_no_message_has_two_rows() -> None:
    texts = [row.text for row in rows()]
    assert len(texts) == len(set(texts))


def test_messages_of_all_packages_are_found() -> None:
    assert len(logged_messages()) > 50
