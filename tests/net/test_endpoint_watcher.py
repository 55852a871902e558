"""Answers of discovery."""

from __future__ import annotations

from glenrock.net import endpoint_watcher

A, B = ("127.0.0.1", 1), ("127.0.0.1", 2)


def test_server_listed_twice_is_logged_and_its_later_row_counts(caplog) -> None:
    row = {"name": "s1", "status": "SERVING"}
    answer = endpoint_watcher.parse_answer(
        {
            "index": 1,
            "snapshot": True,
            "endpoints": [{**row, "address": "127.0.0.1:1"}, {**row, "address": "127.0.0.1:2"}],
        }
    )
    assert [row.address for row in answer.rows] == [B]
    assert caplog.messages == [
        f'endpoint listed twice: the later row counts server=s1 ignored_address="{A}" address="{B}"'
    ]
