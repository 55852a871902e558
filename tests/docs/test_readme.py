"""The README's example runs as it stands."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]


def test_example_runs_as_it_stands(capsys: pytest.CaptureFixture[str]) -> None:
    text = (ROOT / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert re.fullmatch(r"r1 goes to 10\.0\.0\.[123]:80\n", capsys.readouterr().out)
