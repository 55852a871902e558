"""One HTTP/1.1 request, read from bytes, and the bytes of its response. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import httptools

MAX_REQUEST_BYTES = 16_384  # body and all
MAX_TARGET_BYTES = 1024
PLAIN_TEXT = "text/plain; charset=utf-8"


@dataclass(frozen=True)
class HttpResponse:
    """A response; the connection ends with it.

    Attributes:
        status: the status code.
        text: the body, lines.
        content_type: of the body.
        allow: the method that would do, where this one does not.
    """

    status: int
    text: str
    content_type: str = PLAIN_TEXT
    allow: str = ""

    def encode(self) -> bytes:
        """The response's bytes."""
        body = self.text.encode()
        lines = [
            f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}",
            f"Content-Type: {self.content_type}",
            f"Content-Length: {len(body)}",
        ]
        if self.allow:
            lines.append(f"Allow: {self.allow}")
        lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpRequest:
    """httptools' callbacks for one request; what comes after it on the connection is left aside.

    Attributes:
        method: known once `complete`.
        target: path and query as sent.
        complete: the whole request has been read.
    """

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.complete = False
        self._size = 0
        self._parser = httptools.HttpRequestParser(self)

    def on_url(self, part: bytes) -> None:
        """Called by the parser with a part of the target."""
        if not self.complete:
            self.target += part

    def on_headers_complete(self) -> None:
        """Called by the parser once the headers are read."""
        if not self.complete:
            self.method = self._parser.get_method().decode("ascii", "replace")

    def on_message_complete(self) -> None:
        """Called by the parser once the body is read."""
        self.complete = True

    def feed(self, data: bytes) -> HttpResponse | None:
        """Reads further bytes. Returns the response to what cannot be a request; None while all is well."""
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.complete = True  # no other protocol is spoken here: the request counts as it is
        except httptools.HttpParserError as error:
            if not self.complete:
                return HttpResponse(400, f"not an HTTP call: {error}\n")
        if self.complete:
            return None
        if len(self.target) > MAX_TARGET_BYTES:
            return HttpResponse(414, f"the path is longer than {MAX_TARGET_BYTES} bytes\n")
        if self._size > MAX_REQUEST_BYTES:
            return HttpResponse(413, f"the call is longer than {MAX_REQUEST_BYTES} bytes\n")
        return None
