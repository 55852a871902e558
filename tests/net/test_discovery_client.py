"""HTTP responses of discovery that arrive in two parts."""

from __future__ import annotations

from glenrock.net.discovery_client import HttpResponse


def test_response_split_at_any_byte_is_parsed() -> None:
    body = b'{"index":1,"snapshot":true,"endpoints":[]}'
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    for split in range(1, len(data)):
        response = HttpResponse()
        response.parser.feed_data(data[:split])
        assert not response.is_complete
        response.parser.feed_data(data[split:])
        assert response.is_complete and response.keeps_alive and bytes(response.body) == body
