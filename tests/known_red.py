"""Marks tests that fail because of a known fault as expected failures.

KNOWN-RED.txt at the root lists these tests, one a line:

    tests/test_x.py::test_y | the cause | the issue
    tests/test_x.py::test_z | the cause | the issue | aarch64

The listed tests run like all others, but their failures do not fail the run. The run fails if a listed test passes, if
a listed id does not name a test, or if more than three tests are listed. A line with a kind of machine, as `uname -m`
names it, is for that kind alone: on any other the test must pass. `conftest.py` imports the hooks.
"""

from __future__ import annotations

import platform
from pathlib import Path
from typing import NamedTuple, Protocol

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
COLUMN_COUNTS = (3, 4)


class KnownFailure(NamedTuple):
    """A listed test: its cause and issue, and the kind of machine on which it fails; empty for every kind."""

    reason: str
    machine: str = ""

    @property
    def is_expected(self) -> bool:
        """Whether the test is expected to fail on this machine."""
        return self.machine in ("", platform.machine())

    def __str__(self) -> str:
        """Returns the reason and the kind of machine."""
        return f"{self.reason}, on {self.machine}" if self.machine else self.reason


KNOWN_FAILURES: pytest.StashKey[dict[str, KnownFailure]] = pytest.StashKey()
"""The listed tests, by id."""
UNKNOWN_TEST_IDS: pytest.StashKey[set[str]] = pytest.StashKey()
"""Listed ids that do not name a test, as the workers of pytest-xdist reported them."""
UNKNOWN_TESTS_KEY = "known_red_unknown_tests"
"""Key of `workeroutput`, with the listed ids that the worker could not find."""


class WorkerNode(Protocol):
    """The part of a worker of pytest-xdist that the hooks use. `workeroutput` is missing if the worker crashed."""

    config: pytest.Config


def parse_known_failures(text: str) -> dict[str, KnownFailure]:
    """Returns the listed tests, by id.

    Raises:
        ValueError: a line is malformed or repeated, or there are too many.
    """
    known: dict[str, KnownFailure] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        columns = [column.strip() for column in line.split("|")]
        if len(columns) not in COLUMN_COUNTS or not all(columns) or "::" not in columns[0] or columns[0] in known:
            raise ValueError(
                f"{FILE_NAME}, line {number}: expected 'test | cause | issue', each test once, got {line!r:.80}"
            )
        test_id, cause, issue, *machine = columns
        known[test_id] = KnownFailure(f"{cause} (issue {issue})", *machine)
    if len(known) > MAX_KNOWN_FAILURES:
        raise ValueError(f"{FILE_NAME}: {len(known)} tests are listed, at most {MAX_KNOWN_FAILURES} are allowed")
    return known


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list. Raises UsageError if it is invalid."""
    # The list is not read during collection: with pytest-xdist only the workers collect, but the controller prints the
    # summary.
    file = Path(config.rootpath) / FILE_NAME
    try:
        config.stash[KNOWN_FAILURES] = parse_known_failures(file.read_text()) if file.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)  # before `-m` deselects tests, since a deselected test exists
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures. Raises UsageError if a listed id does not name a test."""
    known = config.stash[KNOWN_FAILURES]
    listed_ids = _mark_known_failures(items, known)
    unknown = _find_unknown_ids(config, items, known.keys() - listed_ids)
    if unknown and hasattr(config, "workeroutput"):
        # A usage error in a worker reaches the controller as an internal error without its message.
        config.workeroutput[UNKNOWN_TESTS_KEY] = unknown
    elif unknown:
        raise pytest.UsageError(f"{FILE_NAME}: {unknown[0]} does not name a test")


def _mark_known_failures(items: list[pytest.Item], known: dict[str, KnownFailure]) -> set[str]:
    """Marks the collected tests that are expected to fail here. Returns the listed ids that were found."""
    found: set[str] = set()
    for item in items:
        for test_id in (item.nodeid, item.nodeid.partition("[")[0]):
            if test_id in known:
                found.add(test_id)
                if known[test_id].is_expected:
                    item.add_marker(pytest.mark.xfail(reason=known[test_id].reason, strict=True))
                break
    return found


def _find_unknown_ids(config: pytest.Config, items: list[pytest.Item], not_collected: set[str]) -> list[str]:
    """Returns the ids that do not name a test, out of those that were not collected."""
    collected_files = {item.nodeid.partition("::")[0] for item in items}
    is_whole_run = config.args_source.name != "ARGS"
    unknown = []
    for test_id in sorted(not_collected):
        path = test_id.partition("::")[0]
        # A run of some files does not collect the tests of the others, so nothing is known about them.
        if path in collected_files or not (Path(config.rootpath) / path).exists() or is_whole_run:
            unknown.append(test_id)
    return unknown


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node: WorkerNode, error: object) -> None:
    """Collects, in the controller, the unknown ids that a worker of pytest-xdist reports."""
    found = getattr(node, "workeroutput", {}).get(UNKNOWN_TESTS_KEY, ())
    node.config.stash.setdefault(UNKNOWN_TEST_IDS, set()).update(found)


def pytest_sessionfinish(session: pytest.Session) -> None:
    """Fails the run if a worker reported a listed id that does not name a test."""
    if session.config.stash.get(UNKNOWN_TEST_IDS, set()):
        session.exitstatus = pytest.ExitCode.USAGE_ERROR


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the listed tests with their causes, and the listed ids that do not name a test."""
    stash = terminalreporter.config.stash
    unknown: set[str] = stash.get(UNKNOWN_TEST_IDS, set())
    for test_id in sorted(unknown):
        terminalreporter.line(f"ERROR: {FILE_NAME}: {test_id} does not name a test")
    known = stash.get(KNOWN_FAILURES, {})
    if known:
        terminalreporter.section("known failures")
        for test_id, failure in known.items():
            terminalreporter.line(f"{test_id}: {failure}")
