"""HTTP answers of discovery, cut at any place."""

from __future__ import annotations

from glenrock.net.discovery_client import HttpResponse


def test_answer_is_the_same_wherever_it_is_cut() -> None:
    body = b'{"index":1,"snapshot":true,"endpoints":[]}'
    text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    for cut in range(1, len(text)):
        answer = HttpResponse()
        answer.parser.feed_data(text[:cut])
        assert not answer.is_complete
        answer.parser.feed_data(text[cut:])
        assert answer.is_complete and answer.keeps_alive and bytes(answer.body) == body
