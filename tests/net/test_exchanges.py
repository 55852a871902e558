"""Plays the recorded byte exchanges against the program. tests/exchanges/README.md describes the file format."""

from __future__ import annotations

from pathlib import Path

import pytest

from .exchange_player import play_exchange, read_exchange

EXCHANGES = sorted((Path(__file__).resolve().parents[1] / "exchanges").glob("*.txt"))


def test_there_are_exchanges() -> None:
    assert EXCHANGES


@pytest.mark.usefixtures("runner")
@pytest.mark.parametrize("path", EXCHANGES, ids=lambda path: path.stem)
async def test_exchange_is_answered_as_recorded(path: Path) -> None:
    await play_exchange(read_exchange(path))
