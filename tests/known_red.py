"""Tests that fail for a real fault which is not mended yet: KNOWN-RED.txt at the root, one line each.

    tests/test_x.py::test_y | the cause | the issue

They run like all others, and their failure is passed over; the run fails where one of them passes, where a line names
no test, and where there are more than three.
"""

from __future__ import annotations

from pathlib import Path

import pytest

FILE, MOST = "KNOWN-RED.txt", 3


def read(text: str) -> dict[str, str]:
    """Why each test is known to fail, by its id. ValueError says which line cannot be read."""
    known: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or parts[0] in known:
            raise ValueError(f"{FILE}, line {number}: not «test | cause | issue», once: {line!r:.80}")
        known[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(known) > MOST:
        raise ValueError(f"{FILE}: {len(known)} tests, {MOST} at most")
    return known


def pytest_configure(config: pytest.Config) -> None:
    # Here and not at the collection: with pytest-xdist only the workers collect, and the controller prints the summary.
    file = Path(config.rootpath) / FILE
    try:
        config.stash[KNOWN] = read(file.read_text()) if file.exists() else {}
    except ValueError as bad:
        raise pytest.UsageError(str(bad)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = config.stash[KNOWN]
    seen = set()
    for item in items:
        for name in (item.nodeid, item.nodeid.partition("[")[0]):
            if name in known:
                seen.add(name)
                item.add_marker(pytest.mark.xfail(reason=known[name], strict=True))
                break
    collected = {item.nodeid.partition("::")[0] for item in items}
    unknown = []
    for name in sorted(known.keys() - seen):
        path = name.partition("::")[0]
        # Where only some files are run, a test of another one is not unknown.
        if path in collected or not (Path(config.rootpath) / path).exists() or not config.args_source.name == "ARGS":
            unknown.append(name)
    if unknown and hasattr(config, "workeroutput"):
        # A usage error in a worker reaches the controller as an internal error without its message.
        config.workeroutput[UNKNOWN_TESTS] = unknown
    elif unknown:
        raise pytest.UsageError(f"{FILE}: {unknown[0]} is no test")


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node, error) -> None:
    """Collects the unknown tests of a worker of pytest-xdist, in the controller."""
    found = getattr(node, "workeroutput", {}).get(UNKNOWN_TESTS, ())
    node.config.stash.setdefault(UNKNOWN, set()).update(found)


def pytest_sessionfinish(session: pytest.Session) -> None:
    if session.config.stash.get(UNKNOWN, set()):
        session.exitstatus = pytest.ExitCode.USAGE_ERROR


def pytest_terminal_summary(terminalreporter) -> None:
    for name in sorted(terminalreporter.config.stash.get(UNKNOWN, set())):
        terminalreporter.line(f"ERROR: {FILE}: {name} is no test")
    known = terminalreporter.config.stash.get(KNOWN, {})
    if known:
        terminalreporter.section("known red")
        for name, why in known.items():
            terminalreporter.line(f"{name}: {why}")


KNOWN: pytest.StashKey[dict[str, str]] = pytest.StashKey()
UNKNOWN: pytest.StashKey[set[str]] = pytest.StashKey()
UNKNOWN_TESTS = "known_red_unknown_tests"  # key of a worker's output
