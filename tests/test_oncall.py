"""Each kind of log line that the program writes stands on the page for who is on call."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PROGRAM = [p for part in ("net", "coordination", "upgrade", "admin") for p in (ROOT / "glenrock" / part).rglob("*.py")]


def kinds() -> set[str]:
    found = set()
    for path in [*PROGRAM, ROOT / "glenrock/__main__.py", ROOT / "glenrock/program.py"]:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "say":
                kind = node.args[0]
                assert isinstance(kind, ast.Constant), f"{path}:{node.lineno}: a kind is a plain word"
                found.add(kind.value)
    return found


def test_each_kind_of_line_has_a_row() -> None:
    page = (ROOT / "docs/oncall.md").read_text()
    missing = sorted(kind for kind in kinds() if f"`{kind}: " not in page)
    assert len(kinds()) > 20 and not missing
