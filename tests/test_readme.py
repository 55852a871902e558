"""The README's example runs as it stands."""

import re
from pathlib import Path


def test_the_example_runs(capsys) -> None:
    text = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert re.fullmatch(r"r1 goes to 10\.0\.0\.[123]:80\n", capsys.readouterr().out)
