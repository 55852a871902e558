"""Each identifier of docs/glossary.md stands in the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]


def glossary_identifiers() -> list[str]:
    """Returns the identifiers of docs/glossary.md, from the third column of its tables of terms."""
    terms = (ROOT / "docs/glossary.md").read_text().split("## Where the wire")[0]
    cells = [line.split("|")[3] for line in terms.splitlines() if line.startswith("| ") and "---" not in line]
    names = {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}
    return sorted(name for name in names if not name.startswith("glenrock"))


@pytest.mark.parametrize("identifier", glossary_identifiers())
def test_identifier_stands_in_the_code(identifier: str) -> None:
    code = "\n".join(path.read_text() for path in (ROOT / "glenrock").rglob("*.py"))
    for word in re.findall(r"[A-Za-z_]+", identifier):
        assert re.search(rf"(?<![A-Za-z]){re.escape(word.strip('_'))}(?![A-Za-z])", code), word
