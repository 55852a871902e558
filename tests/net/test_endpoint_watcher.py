"""Parsing of discovery's responses."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from glenrock.config import Address
from glenrock.net.discovery_client import MAX_HEAD_BYTES, DiscoveryError, HttpResponse
from glenrock.net.endpoint_watcher import MAX_ROWS, POLL_BURST, parse_response

from . import scripted_discovery
from .scripted_discovery import Behavior, WatcherRig

FEED_BYTES = 4096
LOOP_RUNS = 50


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


async def test_discovery_that_always_has_changes_is_called_at_a_limited_rate(
    create_watcher_rig: Callable[..., WatcherRig],
) -> None:
    """Guards against a discovery whose changes take each turn of the event loop (issue 58, picture b)."""
    rig = create_watcher_rig(balancers=1)
    rig.discovery.set_behavior(Behavior.CHANGES)
    for _ in range(LOOP_RUNS):  # the clock stands still
        await rig.run_for(0.0)
    assert len(rig.discovery.calls) <= POLL_BURST + 1
    await rig.run_for(1.0)
    assert len(rig.discovery.calls) > POLL_BURST + 1, "it goes on as time passes"


def test_response_of_too_many_rows_is_not_usable() -> None:
    """Guards against a list whose rows keep others from being served for seconds (issue 58, picture b)."""
    with pytest.raises(ValueError, match="rows"):
        parse_response({"index": 1, "snapshot": True, "endpoints": [{}] * (MAX_ROWS + 1)})


@pytest.mark.parametrize("value", [b"{}", b"[]", b"1", b'"x"'])
async def test_response_of_very_many_short_values_is_not_parsed(
    create_watcher_rig: Callable[..., WatcherRig], monkeypatch: pytest.MonkeyPatch, value: bytes
) -> None:
    """Guards against 4 MiB of short values, of which the parser makes up to 100 MB of objects (issue 58, picture a)."""
    rig = create_watcher_rig(balancers=1)
    body = b'{"index":9,"snapshot":true,"endpoints":[%s]}' % b",".join([value] * 300_000)
    answer = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    monkeypatch.setattr(scripted_discovery, "http_response", lambda _body: answer)
    monkeypatch.setattr(json, "loads", lambda _text: pytest.fail("parsed"))
    await rig.run_for(1.0)
    assert rig.discovery.calls and rig.watcher.backoff.unusable


@pytest.mark.parametrize("part", [b"a: b\r\n", b"y"], ids=["fields", "one field"])
def test_head_of_a_response_is_bounded(part: bytes) -> None:
    """Guards against a discovery whose head has no end (issue 58, picture a)."""
    response = HttpResponse()
    response.feed(b"HTTP/1.1 200 OK\r\nX: ")
    with pytest.raises(DiscoveryError, match="head"):
        for _ in range(MAX_HEAD_BYTES // FEED_BYTES + 1):
            response.feed(part * (FEED_BYTES // len(part)))


@pytest.mark.parametrize("name", [b"Content-Length", b"content-length"])
def test_length_of_a_body_is_known_once_the_head_is_complete(name: bytes) -> None:
    response = HttpResponse()
    data = b"HTTP/1.1 200 OK\r\nX-Content-Length: 3\r\n%s: 12345\r\n\r\nabc" % name
    for position in range(len(data)):
        response.feed(data[position : position + 1])
    assert response.max_body_bytes == 12345 and response.body == b"abc"
