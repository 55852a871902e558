"""Parses one HTTP/1.1 request from bytes, and encodes its response. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import httptools

MAX_REQUEST_BYTES = 16_384  # request line, headers and body
MAX_TARGET_BYTES = 1024
PLAIN_TEXT = "text/plain; charset=utf-8"


@dataclass(frozen=True)
class HttpResponse:
    """A response, after which the connection is closed.

    Attributes:
        status: the status code.
        text: the body.
        content_type: of the body.
        allow: the method that the path allows, for a 405; else empty.
    """

    status: int
    text: str
    content_type: str = PLAIN_TEXT
    allow: str = ""

    def encode(self) -> bytes:
        """Returns the response's bytes."""
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
    """Collects one request from httptools' callbacks; further requests on the connection are ignored.

    Attributes:
        method: valid once `is_complete`.
        target: path and query as sent, percent-encoded.
        is_complete: whether the request has been read up to the end of its body.
    """

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.is_complete = False
        self._byte_count = 0
        self._parser = httptools.HttpRequestParser(self)

    def on_url(self, fragment: bytes) -> None:
        """Appends a fragment of the target. Called by the parser."""
        if not self.is_complete:
            self.target += fragment

    def on_headers_complete(self) -> None:
        """Stores the method. Called by the parser after the headers."""
        if not self.is_complete:
            self.method = self._parser.get_method().decode("ascii", "replace")

    def on_message_complete(self) -> None:
        """Completes the request. Called by the parser after the body."""
        self.is_complete = True

    def feed(self, data: bytes) -> HttpResponse | None:
        """Parses further bytes.

        Returns:
            The error response, if the bytes are not HTTP or exceed a limit; else None.
        """
        self._byte_count += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.is_complete = True  # no upgrade is supported: the request is answered as plain HTTP
        except httptools.HttpParserError as error:
            if not self.is_complete:
                return HttpResponse(400, f"not an HTTP request: {error}\n")
        if self.is_complete:
            return None
        if len(self.target) > MAX_TARGET_BYTES:
            return HttpResponse(414, f"the path is longer than {MAX_TARGET_BYTES} bytes\n")
        if self._byte_count > MAX_REQUEST_BYTES:
            return HttpResponse(413, f"the request is longer than {MAX_REQUEST_BYTES} bytes\n")
        return None
