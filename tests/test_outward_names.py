"""Names that others rely on still stand in the source: see tests/recorded/outward_names.toml."""

from __future__ import annotations

import ast
import re
import tomllib
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

from glenrock.simulation import spec_faults

ROOT = Path(__file__).resolve().parents[1]
NAMES_BY_KIND: dict[str, list[str]] = {
    kind: table["names"]
    for kind, table in tomllib.loads((ROOT / "tests/recorded/outward_names.toml").read_text()).items()
}
SOURCES: dict[str, tuple[str, ...]] = {
    "client_and_server_messages": ("net",),
    "discovery": ("net",),
    "coordination_jobs": ("coordination",),
    "routing_settings": ("routing",),
    "simulator_adapter": ("routing",),
    "server_and_endpoint_values": ("routing",),
    "configuration": ("config.py",),
    "environment": ("config.py",),
    "testbed_environment": ("testbed",),
    "coordination_file": ("coordination",),
    "operators_paths": ("admin",),
    "operators_coordination_view": ("coordination",),
    "metrics": ("admin",),
    "metric_values": ("net",),
    "override_file": ("upgrade",),
    "durable_files": ("durable_file.py",),
    "process_registry": ("upgrade",),
    "relay_handover": ("upgrade",),
    "upgrade_state": ("upgrade",),
    "coordination_state_file": ("coordination",),
    "start_files": ("coordination",),
    "endpoint_rows": ("net",),
    "sqlite_store": ("coordination",),
    "consul_store": ("coordination",),
    "experiment_keys": ("simulation",),
    "experiment_values": ("simulation",),
    "scenario_keys": ("testbed", "simulation"),
    "scenario_values": ("testbed", "simulation"),
    "open_constants": ("simulation",),
    "policies": ("simulation",),
    "random_streams": ("simulation", "testbed"),
    "simulation_results": ("simulation", "cli"),
    "testbed_results": ("testbed", "cli"),
    "history_words": ("testbed",),
    "commands": ("cli",),
    "flags": ("cli",),
    "exit_codes": ("cli", "__main__.py"),
}
"""By kind: the modules and packages of `glenrock` that have its names."""


def constants_and_fields(tree: ast.Module) -> Iterator[str]:
    """Yields the literals of a module, without its docstrings, and the annotated fields of its classes."""
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            yield node.value.decode("latin-1") if isinstance(node.value, bytes) else str(node.value)
        elif isinstance(node, ast.ClassDef):
            yield from (
                field.target.id
                for field in node.body
                if isinstance(field, ast.AnnAssign) and isinstance(field.target, ast.Name)
            )


@cache
def names_in(source: str) -> frozenset[str]:
    """Returns the literals and fields of a module or package of `glenrock`."""
    path = ROOT / "glenrock" / source
    files = path.rglob("*.py") if path.is_dir() else [path]
    return frozenset(name for file in files for name in constants_and_fields(ast.parse(file.read_text())))


def stands_in(name: str, literals: frozenset[str]) -> bool:
    """Tells whether a name is a literal, or a whole word of one."""
    word = re.compile(
        rf"(?<![A-Za-z0-9_]){re.escape(name)}(?![A-Za-z0-9_])" if name[-1:].isalnum() else re.escape(name)
    )
    return name in literals or any(word.search(literal) for literal in literals)


def fault_tags() -> set[str]:
    """Returns the names of faults in experiment files, which are made from the names of their classes."""
    classes = [class_ for class_ in vars(spec_faults).values() if isinstance(class_, type)]
    return {str(class_.__struct_config__.tag) for class_ in classes if issubclass(class_, spec_faults.Fault)}


def test_each_kind_has_names_and_a_source() -> None:
    assert set(NAMES_BY_KIND) == set(SOURCES)
    assert all(NAMES_BY_KIND.values())


@pytest.mark.parametrize("kind", sorted(NAMES_BY_KIND))
def test_each_name_stands_in_the_source(kind: str) -> None:
    literals = frozenset().union(*(names_in(source) for source in SOURCES[kind]))
    missing = {name for name in NAMES_BY_KIND[kind] if not stands_in(name, literals)}
    if kind in {"experiment_values", "scenario_values"}:
        missing -= fault_tags()
    assert not missing, missing
