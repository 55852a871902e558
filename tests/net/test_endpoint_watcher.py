"""Parsing of discovery's responses."""

from __future__ import annotations

import pytest

from glenrock.config import Address
from glenrock.net.endpoint_watcher import parse_response


def test_server_listed_twice_is_logged_and_its_later_row_counts(caplog: pytest.LogCaptureFixture) -> None:
    row = {"name": "s1", "status": "SERVING"}
    response = parse_response(
        {
            "index": 1,
            "snapshot": True,
            "endpoints": [{**row, "address": "127.0.0.1:1"}, {**row, "address": "127.0.0.1:2"}],
        }
    )
    assert [row.address for row in response.rows] == [Address("127.0.0.1", 2)]
    assert caplog.messages == [
        "endpoint listed twice: the later row counts server=s1 ignored_address=127.0.0.1:1 address=127.0.0.1:2"
    ]
