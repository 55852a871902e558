"""Each message that the program logs has a row on the on-call page, with the level that it is logged at."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
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
LEVELS = {"info": "INFO", "warning": "WARNING", "error": "ERROR", "exception": "ERROR", "critical": "CRITICAL"}
LEVELS["debug"] = "DEBUG"
ROW = re.compile(r"\| (DEBUG|INFO|WARNING|ERROR|CRITICAL) \| `([^`]+)` \| [^|]+ \| [^|]+ \| [^|]+ \|")
PAGE = (ROOT / "docs/oncall.md").read_text()


def calls() -> Iterator[tuple[Path, ast.Call]]:
    for path in PROGRAM:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call):
                yield path, node


def messages() -> set[tuple[str, str]]:
    """Levels and messages of all calls of a logger, whatever the logger's name."""
    found = set()
    for path, node in calls():
        if not isinstance(node.func, ast.Attribute) or node.func.attr not in LEVELS:
            continue
        if "log" not in ast.unparse(node.func.value).lower():
            continue
        where = f"{path}:{node.lineno}"
        assert len(node.args) == 1 and all(keyword.arg for keyword in node.keywords), f"{where}: a message, and fields"
        message = node.args[0]
        assert isinstance(message, ast.Constant) and isinstance(message.value, str), f"{where}: a constant message"
        found.add((LEVELS[node.func.attr], message.value))
    return found


def test_each_message_has_a_row_with_its_level_and_each_row_has_a_message() -> None:
    rows = {(found[1], found[2]) for line in PAGE.splitlines() if (found := ROW.fullmatch(line))}
    assert messages() - rows == set(), "no row"
    assert rows - messages() == set(), "no such message"


def test_no_message_has_two_rows() -> None:
    rows = [found[2] for line in PAGE.splitlines() if (found := ROW.fullmatch(line))]
    assert len(rows) == len(set(rows))


def test_messages_of_all_packages_are_found() -> None:
    assert len(messages()) > 50
