"""The names on docs/newcomers.md exist, and its examples run."""

from __future__ import annotations

import ast
import asyncio
import inspect
import re
import textwrap
from pathlib import Path

import pytest

from glenrock.admin import routes
from glenrock.admin.prometheus_text import MetricsSnapshot
from glenrock.routing import admission, interface
from glenrock.routing.request_lifecycle import RequestLifecycle

ROOT = Path(__file__).resolve().parents[1]
PAGE = (ROOT / "docs/newcomers.md").read_text()
CODE = re.compile(r"```python\n(.*?)```", re.S)
RULE, RULE_TEST, METRIC, METRIC_USE, HANDLER, ROUTE = (textwrap.dedent(code) for code in CODE.findall(PAGE))
NAMED = sorted(set(re.findall(r"`([^`\n]+)`", CODE.sub("", PAGE))))
NOT_NAMES = re.compile(r"(git|python|GET) .*")  # commands and calls


def index_names() -> tuple[set[str], dict[str, set[str]]]:
    """Returns all functions, classes and module variables, and the members of each class."""
    names: set[str] = set()
    members: dict[str, set[str]] = {}
    for path in [*(ROOT / "glenrock").rglob("*.py"), ROOT / "tests/conftest.py"]:
        module = ast.parse(path.read_text())
        names |= {name.id for node in module.body for name in ast.walk(node) if is_assigned(name)}
        for node in ast.walk(module):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                names.add(node.name)
            if isinstance(node, ast.ClassDef):
                members.setdefault(node.name, set()).update(members_of(node))
    return names, members


def is_assigned(node: ast.AST) -> bool:
    return isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store)


def members_of(node: ast.ClassDef) -> set[str]:
    methods = {item.name for item in node.body if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)}
    fields = {item.target.id for item in node.body if isinstance(item, ast.AnnAssign) and is_assigned(item.target)}
    return methods | fields


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
    source = textwrap.dedent(inspect.getsource(admission.AdmissionController.admit))
    before, check, after = source.partition("    if self._continues_session(request):\n")
    accepted, admitted, rest = after.partition("        return True\n")
    assert check and admitted
    return before + check + accepted + admitted + textwrap.indent(RULE, "    ") + rest


def test_example_of_an_admission_rule_fails_its_test_before_and_passes_after(make_harness, monkeypatch) -> None:
    namespace = {"interface": interface}
    exec(RULE_TEST, namespace)
    run_test = namespace["test_class_of_weight_0_is_rejected_under_a_cap"]
    with pytest.raises(AssertionError):
        run_test(make_harness)
    patched = dict(vars(admission))
    exec(admit_with_rule(), patched)
    monkeypatch.setattr(admission.AdmissionController, "admit", patched["admit"])
    run_test(make_harness)


def test_example_of_a_metric_counts_requests_that_wait_for_a_server(make_harness, monkeypatch) -> None:
    namespace: dict[str, object] = {}
    exec(METRIC, namespace)
    monkeypatch.setattr(RequestLifecycle, "awaiting_server_count", namespace["awaiting_server_count"], raising=False)
    harness = make_harness(names=())
    harness.send_request()
    waiting = len(harness.balancer.lifecycle._awaiting_server)
    owner = type("Operations", (), {"_routing": type("Routing", (), {"balancer": harness.balancer})})
    assert eval(METRIC_USE, {"self": owner}) == waiting == 1


def test_example_of_an_operators_call_is_answered(monkeypatch) -> None:
    class Operations:
        def metrics(self) -> MetricsSnapshot:
            return MetricsSnapshot({}, 0, open_requests=3, registry_entries=0, out_of_rotation=0)

    namespace = {**vars(routes), "ROUTES": dict(routes.ROUTES)}
    exec(HANDLER + "\n" + ROUTE, namespace)
    monkeypatch.setattr(routes, "ROUTES", namespace["ROUTES"])
    response = asyncio.run(routes.respond(Operations(), "GET", b"/v1/balancer/connections"))
    assert (response.status, response.text) == (200, "3\n")


def glossary_identifiers() -> list[str]:
    """Returns the identifiers of docs/glossary.md, from the third column of its tables of terms."""
    terms = (ROOT / "docs/glossary.md").read_text().split("## Where the wire")[0]
    cells = [line.split("|")[3] for line in terms.splitlines() if line.startswith("| ") and "---" not in line]
    names = {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}
    return sorted(name for name in names if not name.startswith("glenrock"))


@pytest.mark.parametrize("identifier", glossary_identifiers())
def test_identifier_of_the_glossary_stands_in_the_code(identifier: str) -> None:
    code = "\n".join(path.read_text() for path in (ROOT / "glenrock").rglob("*.py"))
    for word in re.findall(r"[A-Za-z_]+", identifier):
        assert re.search(rf"(?<![A-Za-z]){re.escape(word.strip('_'))}(?![A-Za-z])", code), word
