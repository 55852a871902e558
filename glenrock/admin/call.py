"""One call to a connection, read from bytes, and an answer's bytes. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import httptools

LARGEST = 16_384  # bytes of a call, body and all
LONGEST_TARGET = 1024


@dataclass(frozen=True)
class Answer:
    status: int
    text: str  # lines
    kind: str = "text/plain; charset=utf-8"
    allow: str = ""  # the method that would do, where this one does not

    def encode(self) -> bytes:
        body = self.text.encode()
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        return (f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}\r\nContent-Type: {self.kind}\r\n"
                f"Content-Length: {len(body)}\r\n{allow}Connection: close\r\n\r\n").encode() + body


class Call:
    """httptools' callbacks for one call; what comes after it on the connection is left aside."""

    def __init__(self) -> None:
        self.target, self.method, self.size, self.whole = b"", "", 0, False
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, part: bytes) -> None:
        if not self.whole:
            self.target += part

    def on_headers_complete(self) -> None:
        if not self.whole:
            self.method = self.parser.get_method().decode("ascii", "replace")

    def on_message_complete(self) -> None:
        self.whole = True

    def feed(self, data: bytes) -> Answer | None:
        """The answer to what cannot be a call; None while all is well."""
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.whole = True  # no other protocol is spoken here: the call counts as it is
        except httptools.HttpParserError as bad:
            if not self.whole:
                return Answer(400, f"not an HTTP call: {bad}\n")
        if self.whole:
            return None
        if len(self.target) > LONGEST_TARGET:
            return Answer(414, f"the path is longer than {LONGEST_TARGET} bytes\n")
        if self.size > LARGEST:
            return Answer(413, f"the call is longer than {LARGEST} bytes\n")
        return None
