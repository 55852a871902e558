"""Each constant of a package that limits or tunes has a row on docs/capacity.md, and each row a constant."""

from __future__ import annotations

import ast
import importlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
Constants = set[tuple[str, str]]
"""Constants by module and name."""


@dataclass(frozen=True)
class Section:
    """A section of the page.

    Attributes:
        title: its heading.
        package: whose constants it lists.
        excepted: numbers that neither limit nor tune. `excepted_modules`: modules that have no others.
        least: constants that are found at least, so that a search that finds none fails.
    """

    title: str
    package: str
    excepted: frozenset[str]
    excepted_modules: frozenset[str] = frozenset()
    least: int = 40


DATAGRAM_KINDS = {
    "FIRST_KIND",
    "HEARTBEAT",
    "SYNC_REQUEST",
    "OVERRIDE_UPDATE",
    "ACKNOWLEDGEMENT",
    "SHARED_LOADS",
    "LEASE_RELEASED",
    "KNOWN_OVERRIDE",
    "LAST_KIND",
}
COORDINATION = Section(
    "Coordination",
    "glenrock.coordination",
    frozenset(
        {"SECOND_US", "SECOND_MS", "MS_US", "DAY_MS"}  # units
        | {"VERSION", "HEADER_FIELDS"}  # formats
        | {"RELEASED_US", "NOT_GRANTED", "TIME_UNKNOWN"}  # markers
        | {"HASH_BITS", "HASH_MASK", "MAX_UINT64", "MAX_STEP"}  # widths
        | {"FIRST_MULTIPLIER", "SECOND_MULTIPLIER"}  # of a hash
        | {"HTTP_OK", "HTTP_NOT_FOUND", "HTTP_CONFLICT", "HTTP_SERVER_ERROR"}  # statuses
        | DATAGRAM_KINDS
    ),
    excepted_modules=frozenset({"model_checker"}),  # its model's own times
)
TESTBED = Section(
    "Testbed",
    "glenrock.testbed",
    frozenset(
        {"US_PER_S", "US_PER_MS", "BYTES_PER_MB", "PER_MILLION"}  # units
        | {"FORMAT", "FIRST_VERSION", "PR_SET_PDEATHSIG", "ENDS_CONNECTION"}  # formats, numbers of the system
        | {"NEVER", "OPEN_END_US", "ALL_BALANCERS", "ANY_BALANCER", "NO_ANSWER"}  # markers
    ),
    least=90,
)


def assigned_names(path: Path) -> Iterator[str]:
    """Yields the names that a module assigns at its top level."""
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Assign | ast.AnnAssign):
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            names = (found for target in targets for found in ast.walk(target) if isinstance(found, ast.Name))
            yield from (found.id for found in names if isinstance(found.ctx, ast.Store))


def is_number(value: object) -> bool:
    """Returns whether a value is a number or a plain tuple of numbers; members of enumerations are none."""
    values = value if type(value) is tuple and value else (value,)
    return all(type(found) in (int, float) for found in values)


def constants_of(section: Section) -> Constants:
    """Returns the constants of a package that are numbers."""
    folder = ROOT / section.package.replace(".", "/")
    found = set()
    for path in folder.rglob("*.py"):
        if path.stem in section.excepted_modules or path.stem == "__init__":
            continue
        name_of_module = str(path.relative_to(folder).with_suffix(""))
        module = importlib.import_module(f"{section.package}.{name_of_module.replace('/', '.')}")
        names = {name for name in assigned_names(path) if name.isupper() and name not in section.excepted}
        found |= {(name_of_module, name) for name in names if is_number(getattr(module, name))}
    return found


def rows_of(section: Section) -> Constants:
    """Returns the constants that a section of the page lists."""
    page = (ROOT / "docs/capacity.md").read_text()
    text = page.partition(f"\n## {section.title}\n")[2].partition("\n## ")[0]
    found = set()
    for line in text.splitlines():
        if line.startswith("| `"):
            names, modules = (cell.replace("`", "").split(", ") for cell in line[2:].split(" | ")[:2])
            found |= {(module, name) for name in names for module in modules}
    return found


@pytest.mark.parametrize("section", [COORDINATION, TESTBED], ids=lambda section: section.title)
def test_each_constant_has_a_row_with_its_module_and_each_row_has_a_constant(section: Section) -> None:
    constants, rows = constants_of(section), rows_of(section)
    assert len(constants) > section.least
    assert constants - rows == set(), "no row"
    assert rows - constants == set(), "no such constant"
