"""Each constant of the coordination that limits or tunes has a row on docs/capacity.md."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
EXCEPTED_MODULES = {"model_checker"}  # its model's own times
EXCEPTED = {"SECOND_US", "SECOND_MS", "MS_US", "DAY_MS"}  # units
EXCEPTED |= {"VERSION", "HEADER_FIELDS"}  # formats
EXCEPTED |= {"RELEASED_US", "NOT_GRANTED", "TIME_UNKNOWN"}  # markers
EXCEPTED |= {"HASH_BITS", "HASH_MASK", "MAX_NUMBER", "MAX_STEP"}  # widths


def is_number(node: ast.expr) -> bool:
    """Returns whether an expression has numbers and names only, and at least one number."""
    parts = list(ast.walk(node))
    allowed = (ast.Constant, ast.BinOp, ast.UnaryOp, ast.operator, ast.unaryop, ast.Name, ast.expr_context)
    numbers = [part for part in parts if isinstance(part, ast.Constant)]
    return all(isinstance(part, allowed) for part in parts) and all(
        isinstance(part.value, int | float) and not isinstance(part.value, bool) for part in numbers
    )


def constants() -> set[tuple[str, str]]:
    """Returns the modules and names of constants that are numbers."""
    folder = ROOT / "glenrock/coordination"
    found = set()
    for path in folder.rglob("*.py"):
        if path.stem in EXCEPTED_MODULES:
            continue
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name) and is_number(node.value):
                name = node.targets[0].id
                if name.isupper() and name not in EXCEPTED:
                    found.add((str(path.relative_to(folder).with_suffix("")), name))
    return found


def test_each_constant_has_a_row_with_its_module_and_each_row_has_a_constant() -> None:
    page = (ROOT / "docs/capacity.md").read_text()
    section = page.partition("## Coordination\n")[2].partition("\n## ")[0]
    rows = set()
    for line in section.splitlines():
        if line.startswith("| `"):
            names, modules = (cell.replace("`", "").split(", ") for cell in line.split(" | ")[:2])
            names[0] = names[0].removeprefix("| ")
            rows |= {(module, name) for name in names for module in modules}
    assert len(constants()) > 40
    assert constants() - rows == set(), "no row"
    assert rows - constants() == set(), "no such constant"
