"""Imports go one way (docs/architecture.md): which package may import which, and no import cycles."""

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
# Import cycles that are still tolerated; no new ones may be added.
KNOWN_CYCLES: set[frozenset[str]] = set()


def module_name(path: Path) -> str:
    """Returns the name of a module within glenrock."""
    parts = path.relative_to(ROOT / "glenrock").with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


MODULES = {module_name(path): path for path in sorted((ROOT / "glenrock").rglob("*.py"))}


def imported_modules(module: str) -> set[str]:
    """Returns the modules of glenrock that a module imports, those for types alone too."""
    path = MODULES[module]
    package = module if path.name == "__init__.py" else module.rpartition(".")[0]
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names = {alias.name for alias in node.names if alias.name.startswith("glenrock.")}
            found |= {name.removeprefix("glenrock.") for name in names}
        elif isinstance(node, ast.ImportFrom) and (base := import_source(node, package)) is not None:
            for alias in node.names:
                submodule = f"{base}.{alias.name}" if base else alias.name
                found.add(submodule if submodule in MODULES else base)
    return found & MODULES.keys() - {module}


def import_source(node: ast.ImportFrom, package: str) -> str | None:
    """Returns the module or package that a statement imports from; None if it is not of glenrock."""
    name = node.module or ""
    if not node.level:
        return name.removeprefix("glenrock").removeprefix(".") if name.startswith("glenrock") else None
    parts = package.split(".") if package else []
    parents = parts[: len(parts) - node.level + 1]
    return ".".join([*parents, name] if name else parents)


def import_cycles() -> set[frozenset[str]]:
    """Returns the sets of modules that import each other, directly or by way of others."""
    reached: dict[str, set[str]] = {}
    imports = {name: imported_modules(name) for name in MODULES}
    for name in MODULES:
        seen: set[str] = set()
        todo = [name]
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
    violations = [
        f"{name} imports {other}"
        for name in MODULES
        for other in sorted(imported_modules(name))
        if other.partition(".")[0] in FORBIDDEN.get(name.partition(".")[0], ())
    ]
    assert not violations, violations


def test_import_cycles_are_the_known_ones() -> None:
    found = import_cycles()
    assert found <= KNOWN_CYCLES, sorted(map(sorted, found - KNOWN_CYCLES))
    assert found >= KNOWN_CYCLES, "a cycle that is gone is removed from the list"
