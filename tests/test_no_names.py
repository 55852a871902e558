"""The program depends on settings, never on the site: it contains no operator's or site's name."""

from __future__ import annotations

from pathlib import Path

NAMES = ("budapest", "oberland", "gyor", "rosenheim", "anyak", "pegel")


def test_no_operator_or_site_is_named_in_the_program() -> None:
    root = Path(__file__).resolve().parents[1]
    files = list((root / "glenrock").rglob("*.py"))
    assert len(files) > 60
    found = [f"{path}: {name}" for path in files for name in NAMES if name in path.read_text().lower()]
    assert not found, found
