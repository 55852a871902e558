"""Failures of the tests in KNOWN-RED.txt do not fail a run; all other failures do."""

from __future__ import annotations

import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

FAILING_TEST_LINE = "tests/test_a.py::test_red | it is not fixed | 7\n"
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
    """A small project with the hooks of `known_red.py`.

    Attributes:
        folder: its root.
    """

    folder: Path

    def write(self, known: str, **files: str) -> None:
        """Writes the list of known failures, and test files by their names without suffix."""
        tests = self.folder / "tests"
        tests.mkdir(exist_ok=True)
        shutil.copy(Path(__file__).with_name("known_red.py"), tests / "conftest.py")
        (self.folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
        (self.folder / "KNOWN-RED.txt").write_text(known)
        for name, text in files.items():
            (tests / f"{name}.py").write_text(text)

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs its tests."""
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
        (FAILING_TEST_LINE + "tests/test_a.py::test_both | two of a kind | 8\n", 0, "1 passed, 3 xfailed"),
        (FAILING_TEST_LINE, 1, "tests/test_a.py::test_red: it is not fixed (issue 7)"),
        (
            FAILING_TEST_LINE + "tests/test_a.py::test_both[1] | one | 8\ntests/test_a.py::test_both[2] | other | 8\n",
            0,
            "3 xfailed",
        ),
        (FAILING_TEST_LINE + "tests/test_a.py::test_green | it passes | 8\n", 1, "[XPASS(strict)] it passes (issue 8)"),
        ("tests/test_a.py::test_gone | x | 1\n", 4, "tests/test_a.py::test_gone is no test"),
        ("tests/test_b.py::test_gone | x | 1\n", 4, "tests/test_b.py::test_gone is no test"),
        ("tests/test_a.py::test_red | no issue\n", 4, "line 1: not «test | cause | issue»"),
        (FAILING_TEST_LINE + FAILING_TEST_LINE, 4, "line 2: not «test | cause | issue», once"),
        (FOUR_LINES, 4, "4 tests, 3 at most"),
    ],
)
def test_run_passes_over_exactly_the_listed_failures(
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


def test_workers_pass_over_known_failures_and_report_an_unexpected_pass(project: Project) -> None:
    def run_with_workers(known: str) -> subprocess.CompletedProcess[str]:
        project.write(known, test_a=TESTS)
        return project.run("-n", "2", "--dist", "loadfile")

    both = FAILING_TEST_LINE + "tests/test_a.py::test_both | two of a kind | 8\n"
    passed_over = run_with_workers(both)
    assert passed_over.returncode == 0 and "1 passed, 3 xfailed" in passed_over.stdout, passed_over.stdout
    assert "tests/test_a.py::test_red: it is not fixed (issue 7)" in passed_over.stdout
    unexpected = run_with_workers(both + "tests/test_a.py::test_green | it passes | 8\n")
    assert unexpected.returncode == 1 and "[XPASS(strict)] it passes (issue 8)" in unexpected.stdout, unexpected.stdout
    unknown = run_with_workers("tests/test_a.py::test_gone | x | 1\n")
    assert unknown.returncode == 4 and "tests/test_a.py::test_gone is no test" in unknown.stdout + unknown.stderr
