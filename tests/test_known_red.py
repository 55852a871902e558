"""Failures of the tests in KNOWN-RED.txt do not fail a run; all other failures do."""

from __future__ import annotations

import platform
import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

FAILING_TEST_LINE = "tests/test_a.py::test_red | it is not fixed | 7\n"
BOTH_LINE = "tests/test_a.py::test_both | both cases fail | 8\n"
PASSING_TEST_LINE = "tests/test_a.py::test_green | it passes | 8"
TESTS = """
import pytest

def test_red():
    assert False

def test_green():
    pass

@pytest.mark.parametrize("n", [1, 2])
def test_both(n):
    assert n > 2
"""
FOUR_LINES = "".join(f"tests/test_a.py::test_{letter} | x | 1\n" for letter in "abcd")


@dataclass
class Project:
    """A project whose conftest.py has the hooks of `known_red.py`.

    Attributes:
        folder: the root folder of the project.
    """

    folder: Path

    def write(self, known: str, **files: str) -> None:
        """Writes the list of known failures, and test files, given by name without suffix."""
        tests = self.folder / "tests"
        tests.mkdir(exist_ok=True)
        shutil.copy(Path(__file__).with_name("known_red.py"), tests / "conftest.py")
        (self.folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
        (self.folder / "KNOWN-RED.txt").write_text(known)
        for name, text in files.items():
            (tests / f"{name}.py").write_text(text)

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs the tests of the project."""
        return subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments],
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=60,
        )


@pytest.fixture
def project(tmp_path: Path) -> Project:
    """Returns an empty project."""
    return Project(tmp_path)


@pytest.mark.parametrize(
    ("known", "exit_code", "message"),
    [
        ("", 1, "3 failed, 1 passed"),
        ("# a comment\n\n" + FAILING_TEST_LINE, 1, "2 failed, 1 passed, 1 xfailed"),
        (FAILING_TEST_LINE + "tests/test_a.py::test_both | both cases fail | 8\n", 0, "1 passed, 3 xfailed"),
        (FAILING_TEST_LINE, 1, "tests/test_a.py::test_red: it is not fixed (issue 7)"),
        (
            FAILING_TEST_LINE
            + "tests/test_a.py::test_both[1] | first case | 8\ntests/test_a.py::test_both[2] | second case | 8\n",
            0,
            "3 xfailed",
        ),
        (FAILING_TEST_LINE + "tests/test_a.py::test_green | it passes | 8\n", 1, "[XPASS(strict)] it passes (issue 8)"),
        (
            FAILING_TEST_LINE.strip() + f" | {platform.machine()}\n" + BOTH_LINE,
            0,
            f"tests/test_a.py::test_red: it is not fixed (issue 7), on {platform.machine()}",
        ),
        (FAILING_TEST_LINE.strip() + f" | {platform.machine()}\n" + BOTH_LINE, 0, "1 passed, 3 xfailed"),
        (FAILING_TEST_LINE.strip() + " | another\n" + BOTH_LINE, 1, "1 failed, 1 passed, 2 xfailed"),
        (
            FAILING_TEST_LINE.strip() + " | another\n",
            1,
            "tests/test_a.py::test_red: it is not fixed (issue 7), on another",
        ),
        (PASSING_TEST_LINE + f" | {platform.machine()}\n", 1, "[XPASS(strict)] it passes (issue 8)"),
        (PASSING_TEST_LINE + " | another\n" + FAILING_TEST_LINE + BOTH_LINE, 0, "1 passed, 3 xfailed"),
        ("tests/test_a.py::test_gone | x | 1 | another\n", 4, "tests/test_a.py::test_gone does not name a test"),
        ("tests/test_a.py::test_red | x | 1 | another | more\n", 4, "line 1: expected 'test | cause | issue'"),
        ("tests/test_a.py::test_gone | x | 1\n", 4, "tests/test_a.py::test_gone does not name a test"),
        ("tests/test_b.py::test_gone | x | 1\n", 4, "tests/test_b.py::test_gone does not name a test"),
        ("tests/test_a.py::test_red | no issue\n", 4, "line 1: expected 'test | cause | issue'"),
        (FAILING_TEST_LINE + FAILING_TEST_LINE, 4, "line 2: expected 'test | cause | issue', each test once"),
        (FOUR_LINES, 4, "4 tests are listed, at most 3 are allowed"),
    ],
)
def test_run_passes_despite_exactly_the_listed_failures(
    project: Project, known: str, exit_code: int, message: str
) -> None:
    project.write(known, test_a=TESTS)
    completed = project.run()
    output = completed.stdout + completed.stderr
    assert completed.returncode == exit_code and message in output, output


def test_run_of_some_files_ignores_listed_tests_of_other_files(project: Project) -> None:
    failing = "def test_one():\n    assert False\n"
    project.write("tests/test_b.py::test_one | x | 1\n", test_a=failing, test_b=failing)
    completed = project.run("tests/test_a.py")
    assert completed.returncode == 1 and "1 failed" in completed.stdout


def test_hooks_work_with_several_workers(project: Project) -> None:
    def run_with_workers(known: str) -> subprocess.CompletedProcess[str]:
        project.write(known, test_a=TESTS)
        return project.run("-n", "2", "--dist", "loadfile")

    both = FAILING_TEST_LINE + "tests/test_a.py::test_both | both cases fail | 8\n"
    with_known_failures = run_with_workers(both)
    assert with_known_failures.returncode == 0 and "1 passed, 3 xfailed" in with_known_failures.stdout, (
        with_known_failures.stdout
    )
    assert "tests/test_a.py::test_red: it is not fixed (issue 7)" in with_known_failures.stdout
    with_unexpected_pass = run_with_workers(both + "tests/test_a.py::test_green | it passes | 8\n")
    assert (
        with_unexpected_pass.returncode == 1 and "[XPASS(strict)] it passes (issue 8)" in with_unexpected_pass.stdout
    ), with_unexpected_pass.stdout
    with_unknown_test = run_with_workers("tests/test_a.py::test_gone | x | 1\n")
    assert (
        with_unknown_test.returncode == 4
        and "tests/test_a.py::test_gone does not name a test" in with_unknown_test.stdout + with_unknown_test.stderr
    )
