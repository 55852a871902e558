"""Each constant of the testbed that limits or tunes has a row on the capacity page, and each row a constant."""

from __future__ import annotations

import ast
import importlib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
UNITS = {"US_PER_S", "US_PER_MS", "BYTES_PER_MB", "PER_MILLION"}
MARKS = {"NEVER", "OPEN_END_US", "FIRST_VERSION", "FORMAT", "ALL_BALANCERS", "ANY_BALANCER", "NO_ANSWER"}
ERROR_NUMBERS = {"PR_SET_PDEATHSIG", "ENDS_CONNECTION"}  # of the system
EXCEPTED = UNITS | MARKS | ERROR_NUMBERS


def assigned_names(path: Path) -> Iterator[str]:
    """Yields the names that a module assigns at its top level."""
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Assign | ast.AnnAssign):
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            names = (found for target in targets for found in ast.walk(target) if isinstance(found, ast.Name))
            yield from (found.id for found in names if isinstance(found.ctx, ast.Store))


def is_number(value: object) -> bool:
    """Returns whether a value is a number, or a tuple of numbers. Members of enumerations are none."""
    return all(type(found) in (int, float) for found in (value if isinstance(value, tuple) and value else (value,)))


def constants() -> set[tuple[str, str]]:
    """Returns the modules and names of constants that are numbers."""
    found = set()
    for path in (ROOT / "glenrock/testbed").glob("*.py"):
        module = importlib.import_module(f"glenrock.testbed.{path.stem}")
        names = {name for name in assigned_names(path) if name.isupper() and name not in EXCEPTED}
        found |= {(path.stem, name) for name in names if is_number(getattr(module, name))}
    return found


def rows() -> set[tuple[str, str]]:
    """Returns the modules and names of the page's section."""
    page = (ROOT / "docs/capacity.md").read_text()
    section = page.partition("\n## Testbed\n")[2].partition("\n## ")[0]
    found = set()
    for line in section.splitlines():
        if line.startswith("| `"):
            names, modules = (cell.replace("`", "").split(", ") for cell in line[2:].split(" | ")[:2])
            found |= {(module, name) for name in names for module in modules}
    return found


def test_each_constant_has_a_row_and_each_row_a_constant() -> None:
    assert len(constants()) > 90
    assert constants() - rows() == set(), "no row"
    assert rows() - constants() == set(), "no such constant"
