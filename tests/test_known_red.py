"""A run passes over tests that are known to fail, and over nothing else."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

RED = "tests/test_a.py::test_red | it is not mended | 7\n"
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
MORE = "".join(f"tests/test_a.py::test_{n} | x | 1\n" for n in "abcd")


@pytest.mark.parametrize(
    "known,code,said",
    [
        ("", 1, "3 failed, 1 passed"),
        ("# a comment\n\n" + RED, 1, "2 failed, 1 passed, 1 xfailed"),
        (RED + "tests/test_a.py::test_both | two of a kind | 8\n", 0, "1 passed, 3 xfailed"),
        (RED, 1, "tests/test_a.py::test_red: it is not mended (issue 7)"),
        (RED + "tests/test_a.py::test_both[1] | one | 8\ntests/test_a.py::test_both[2] | other | 8\n", 0, "3 xfailed"),
        (RED + "tests/test_a.py::test_green | it passes | 8\n", 1, "[XPASS(strict)] it passes (issue 8)"),
        ("tests/test_a.py::test_gone | x | 1\n", 4, "tests/test_a.py::test_gone is no test"),
        ("tests/test_b.py::test_gone | x | 1\n", 4, "tests/test_b.py::test_gone is no test"),
        ("tests/test_a.py::test_red | no issue\n", 4, "line 1: not «test | cause | issue»"),
        (RED + RED, 4, "line 2: not «test | cause | issue», once"),
        (MORE, 4, "4 tests, 3 at most"),
    ],
)
def test_what_a_run_makes_of_it(tmp_path: Path, known: str, code: int, said: str) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "test_a.py").write_text(TESTS)
    shutil.copy(Path(__file__).with_name("known_red.py"), tmp_path / "tests" / "conftest.py")
    (tmp_path / "KNOWN-RED.txt").write_text(known)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert run.returncode == code and said in run.stdout + run.stderr, run.stdout + run.stderr


def test_a_run_of_some_files_knows_nothing_of_the_others(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    for name in ("test_a.py", "test_b.py"):
        (tmp_path / "tests" / name).write_text("def test_one():\n    assert False\n")
    shutil.copy(Path(__file__).with_name("known_red.py"), tmp_path / "tests" / "conftest.py")
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "KNOWN-RED.txt").write_text("tests/test_b.py::test_one | x | 1\n")
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests/test_a.py"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert run.returncode == 1 and "1 failed" in run.stdout


def test_workers_pass_over_known_failures_and_report_an_unexpected_pass(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "test_a.py").write_text(TESTS)
    shutil.copy(Path(__file__).with_name("known_red.py"), tmp_path / "tests" / "conftest.py")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-n", "2", "--dist", "loadfile"]

    def run(known: str) -> subprocess.CompletedProcess[str]:
        (tmp_path / "KNOWN-RED.txt").write_text(known)
        return subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60)

    both = RED + "tests/test_a.py::test_both | two of a kind | 8\n"
    passed_over = run(both)
    assert passed_over.returncode == 0 and "1 passed, 3 xfailed" in passed_over.stdout, passed_over.stdout
    assert "tests/test_a.py::test_red: it is not mended (issue 7)" in passed_over.stdout
    unexpected = run(both + "tests/test_a.py::test_green | it passes | 8\n")
    assert unexpected.returncode == 1 and "[XPASS(strict)] it passes (issue 8)" in unexpected.stdout, unexpected.stdout
    unknown = run("tests/test_a.py::test_gone | x | 1\n")
    assert unknown.returncode == 4 and "tests/test_a.py::test_gone is no test" in unknown.stdout + unknown.stderr
