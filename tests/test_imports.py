"""Checks which packages may import which (docs/architecture.md), and that there are no import cycles."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]

# The modules and packages that each package must not import, not even for type checking. "" is the package `glenrock`
# itself, `program` is the composition root, and `__main__` starts it.
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
# Import cycles that are tolerated. None may be added.
KNOWN_CYCLES: set[frozenset[str]] = set()


def module_name(path: Path) -> str:
    """Returns the name of a module within glenrock."""
    parts = path.relative_to(ROOT / "glenrock").with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


MODULES = {module_name(path): path for path in sorted((ROOT / "glenrock").rglob("*.py"))}


def imported_modules(module: str) -> set[str]:
    """Returns the modules of glenrock that a module imports, including imports for type checking."""
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
    """Returns the module or package that a statement imports from; None if it is not part of glenrock."""
    name = node.module or ""
    if not node.level:
        return name.removeprefix("glenrock").removeprefix(".") if name.startswith("glenrock") else None
    parts = package.split(".") if package else []
    parents = parts[: len(parts) - node.level + 1]
    return ".".join([*parents, name] if name else parents)


def import_cycles() -> set[frozenset[str]]:
    """Returns the sets of modules that import each other, directly or through other modules."""
    reachable_by_module: dict[str, set[str]] = {}
    imports = {name: imported_modules(name) for name in MODULES}
    for name in MODULES:
        reachable: set[str] = set()
        pending = [name]
        while pending:
            for other in imports[pending.pop()] - reachable:
                reachable.add(other)
                pending.append(other)
        reachable_by_module[name] = reachable
    return {
        frozenset({name} | {other for other in reachable_by_module[name] if name in reachable_by_module[other]})
        for name in MODULES
        if name in reachable_by_module[name]
    }


def test_no_package_imports_a_forbidden_one() -> None:
    violations = [
        f"{name} imports {other}"
        for name in MODULES
        for other in sorted(imported_modules(name))
        if other.partition(".")[0] in FORBIDDEN.get(name.partition(".")[0], ())
    ]
    assert not violations, violations


def test_import_cycles_are_exactly_the_tolerated_ones() -> None:
    found = import_cycles()
    assert found <= KNOWN_CYCLES, sorted(map(sorted, found - KNOWN_CYCLES))
    assert found >= KNOWN_CYCLES, "KNOWN_CYCLES lists a cycle that no longer exists"
