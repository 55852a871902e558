"""Imports go one way (docs/architecture.md): which package may import which, and no circles between modules."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]

# What each part of the program must not import, not even for types.
# The composition root is `program`; `__main__` starts it.
FORBIDDEN = {
    "routing": (
        "",
        "admin",
        "cli",
        "config",
        "coordination",
        "simulation",
        "log",
        "net",
        "operation_errors",
        "program",
        "testbed",
        "toml_file",
        "upgrade",
    ),
    "net": ("__main__", "program", "admin", "cli", "coordination", "simulation", "upgrade", "testbed"),
    "upgrade": ("__main__", "program", "admin", "cli", "coordination", "simulation", "testbed"),
    "admin": ("__main__", "program", "cli", "coordination", "simulation", "testbed"),
    "coordination": ("__main__", "program", "cli", "simulation", "testbed"),
    "testbed": ("__main__", "program", "admin", "cli", "net", "upgrade"),
    "simulation": ("__main__", "program", "admin", "cli", "net", "upgrade", "testbed"),
}
# Circles that are still there; the list only shrinks.
KNOWN_CIRCLES: set[frozenset[str]] = set()


def name_of(path: Path) -> str:
    parts = path.relative_to(ROOT / "glenrock").with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


MODULES = {name_of(path): path for path in sorted((ROOT / "glenrock").rglob("*.py"))}


def imports_of(name: str) -> set[str]:
    """Modules of glenrock that a module imports, those for types alone too."""
    path = MODULES[name]
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names = {alias.name for alias in node.names if alias.name.startswith("glenrock.")}
            found |= {name.removeprefix("glenrock.") for name in names}
        elif isinstance(node, ast.ImportFrom):
            base = (node.module or "").removeprefix("glenrock").removeprefix(".")
            if node.level:
                parts = package.split(".")[: len(package.split(".")) - node.level + 1] if package else []
                base = ".".join([*parts, *([node.module] if node.module else [])])
            elif not (node.module or "").startswith("glenrock"):
                continue
            for alias in node.names:
                whole = f"{base}.{alias.name}" if base else alias.name
                found.add(whole if whole in MODULES else base)
    return found & MODULES.keys() - {name}


def circles() -> set[frozenset[str]]:
    """Sets of modules of which each can be reached from each other."""
    reached: dict[str, set[str]] = {}
    imports = {name: imports_of(name) for name in MODULES}
    for name in MODULES:
        seen, todo = set(), [name]
        while todo:
            for other in imports[todo.pop()] - seen:
                seen.add(other)
                todo.append(other)
        reached[name] = seen
    return {
        frozenset({name} | {other for other in reached[name] if name in reached[other]})
        for name in MODULES
        if name in reached[name]
    }


def test_each_package_imports_only_what_lies_below_it() -> None:
    wrong = [
        f"{name} imports {other}"
        for name in MODULES
        for other in sorted(imports_of(name))
        if other.partition(".")[0] in FORBIDDEN.get(name.partition(".")[0], ())
    ]
    assert not wrong, wrong


def test_no_module_is_in_a_circle_but_those_that_are_known() -> None:
    found = circles()
    assert found <= KNOWN_CIRCLES, sorted(map(sorted, found - KNOWN_CIRCLES))
    assert KNOWN_CIRCLES <= found, "a circle that is gone goes from the list"
