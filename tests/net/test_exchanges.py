"""Recorded byte exchanges, played against the program. The form of the files: tests/exchanges/README.md."""

from __future__ import annotations

from pathlib import Path

import pytest
import uvloop

from .exchange_player import play_exchange, read_exchange

EXCHANGES = sorted((Path(__file__).resolve().parents[1] / "exchanges").glob("*.txt"))


def test_there_are_exchanges() -> None:
    assert EXCHANGES


@pytest.mark.parametrize("path", EXCHANGES, ids=lambda path: path.stem)
def test_exchange_is_answered_as_recorded(path: Path) -> None:
    uvloop.run(play_exchange(read_exchange(path)))
