"""The names on docs/newcomers.md exist, and its examples run."""

from __future__ import annotations

import ast
import asyncio
import inspect
import re
import textwrap
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from admin.recording_operations import RecordingOperations
from conftest import HarnessFactory

from glenrock.admin import routes
from glenrock.routing import admission, interface
from glenrock.routing.request_lifecycle import RequestLifecycle

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs/newcomers.md").read_text()
CODE = re.compile(r"```python\n(.*?)```", re.S)
RULE, RULE_TEST, METRIC, METRIC_USE, HANDLER, ROUTE = (textwrap.dedent(code) for code in CODE.findall(PAGE))
NAMED = sorted(set(re.findall(r"`([^`\n]+)`", CODE.sub("", PAGE))))
NOT_NAMES = re.compile(r"(git|\.venv/bin/python|GET) .*")  # commands and calls


def index_names() -> tuple[set[str], dict[str, set[str]]]:
    """Returns all functions, classes and module variables, and the members of each class."""
    names: set[str] = set()
    members: dict[str, set[str]] = {}
    for path in [*(ROOT / "glenrock").rglob("*.py"), ROOT / "tests/conftest.py"]:
        module = ast.parse(path.read_text())
        names |= {name for statement in module.body for name in assigned_names(statement)}
        for node in ast.walk(module):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                names.add(node.name)
            if isinstance(node, ast.ClassDef):
                members.setdefault(node.name, set()).update(members_of(node))
    return names, members


def assigned_names(statement: ast.AST) -> set[str]:
    """Returns the names that are assigned in a statement."""
    names = [node for node in ast.walk(statement) if isinstance(node, ast.Name)]
    return {name.id for name in names if isinstance(name.ctx, ast.Store)}


def members_of(node: ast.ClassDef) -> set[str]:
    """Returns the names of the methods and of the annotated fields of a class."""
    members: set[str] = set()
    for item in node.body:
        if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef):
            members.add(item.name)
        elif isinstance(item, ast.AnnAssign):
            members |= assigned_names(item.target)
    return members


NAMES, MEMBERS = index_names()


@pytest.mark.parametrize("named", [named for named in NAMED if not NOT_NAMES.fullmatch(named)])
def test_named_file_or_identifier_exists(named: str) -> None:
    if "/" in named:
        assert (ROOT / named).exists()
        return
    name, _, member = named.partition(".")
    assert name in NAMES
    assert not member or member in MEMBERS[name]


def test_identifier_beside_a_module_stands_in_it() -> None:
    rows = re.findall(r"`(glenrock/[\w/]+\.py)`: `(\w+)", PAGE)
    assert len(rows) > 8
    for path, name in rows:
        assert re.search(rf"^(class {name}\b|def {name}\b|{name}\b)", (ROOT / path).read_text(), re.M), (path, name)


def admit_with_rule() -> str:
    """Returns the source of `AdmissionController.admit` with the page's rule after the check of the session."""
    source = textwrap.dedent(inspect.getsource(admission.AdmissionController.admit))
    before, check, after = source.partition("    if self._continues_session(request):\n")
    accepted, admitted, rest = after.partition("        return True\n")
    assert check and admitted
    return before + check + accepted + admitted + textwrap.indent(RULE, "    ") + rest


def test_example_of_an_admission_rule_fails_its_test_before_and_passes_after(
    make_harness: HarnessFactory, monkeypatch: pytest.MonkeyPatch
) -> None:
    namespace: dict[str, Any] = {"interface": interface, "HarnessFactory": HarnessFactory}
    exec(RULE_TEST, namespace)
    run_test = namespace["test_class_of_weight_0_is_rejected_under_a_cap"]
    with pytest.raises(AssertionError):
        run_test(make_harness)
    patched = dict(vars(admission))
    exec(admit_with_rule(), patched)
    monkeypatch.setattr(admission.AdmissionController, "admit", patched["admit"])
    run_test(make_harness)


def test_example_of_a_metric_counts_requests_that_wait_for_a_server(
    make_harness: HarnessFactory, monkeypatch: pytest.MonkeyPatch
) -> None:
    namespace: dict[str, Any] = {}
    exec(METRIC, namespace)
    monkeypatch.setattr(RequestLifecycle, "awaiting_server_count", namespace["awaiting_server_count"], raising=False)
    harness = make_harness(names=())
    harness.send_request()
    waiting = len(harness.balancer.lifecycle._awaiting_server)
    operations = SimpleNamespace(_routing=SimpleNamespace(balancer=harness.balancer))
    assert eval(METRIC_USE, {"self": operations}) == waiting == 1


def test_example_of_an_operators_call_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    namespace = {**vars(routes), "ROUTES": dict(routes.ROUTES)}
    exec(HANDLER + "\n" + ROUTE, namespace)
    monkeypatch.setattr(routes, "ROUTES", namespace["ROUTES"])
    response = asyncio.run(routes.respond(RecordingOperations(), "GET", b"/v1/balancer/connections"))
    assert (response.status, response.text) == (200, "5\n")
