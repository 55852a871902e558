"""HTTP requests in pieces, invalid ones and pipelined ones."""

from __future__ import annotations

import pytest

from glenrock.admin.http_message import MAX_REQUEST_BYTES, HttpRequest

REQUEST = b"POST /v1/session-servers/s-1/suspend HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nwhy?"


@pytest.mark.parametrize("split", range(1, len(REQUEST)))
def test_request_split_at_any_byte_parses_the_same(split: int) -> None:
    whole, parts = HttpRequest(), HttpRequest()
    assert whole.feed(REQUEST) is None and parts.feed(REQUEST[:split]) is None
    assert whole.is_complete and not parts.is_complete
    assert parts.feed(REQUEST[split:]) is None and parts.is_complete
    assert (parts.method, parts.target) == (whole.method, whole.target) == ("POST", b"/v1/session-servers/s-1/suspend")


@pytest.mark.parametrize(
    "data,status",
    [
        (b"OPEN 9b 7f c=chat\r\n", 400),
        (b"\x16\x03\x01\r\n\r\n", 400),
        (b"GET /" + b"a" * 2000, 414),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * (MAX_REQUEST_BYTES // 6), 413),
    ],
)
def test_invalid_request_gets_an_error_response(data: bytes, status: int) -> None:
    response = HttpRequest().feed(data)
    assert response and response.status == status and response.text.count("\n") == 1


def test_pipelined_request_is_ignored() -> None:
    request = HttpRequest()
    assert request.feed(b"GET /v1/readyz HTTP/1.1\r\n\r\nPOST /v1/balancer/drain HTTP/1.1\r\n\r\n") is None
    assert (request.method, request.target, request.is_complete) == ("GET", b"/v1/readyz", True)
