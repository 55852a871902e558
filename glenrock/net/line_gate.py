"""Forwards only whole lines from a server to its client. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from .protocol import LineSplitter


class ForwardedLines(NamedTuple):
    """Bytes that may be sent to the client now, and the lines that ended in the bytes fed."""

    data: bytes
    lines: list[bytes]


class LineBuffer:
    """Holds back the bytes of a line until its end.

    A client that has received a part of a line cannot be migrated while its server hangs: it would read the
    call to migrate as the rest of that line.

    Attributes:
        splitter: the line that has not ended yet.
        is_within_line: whether the client has received a part of a line without its end.
    """

    def __init__(self) -> None:
        self.splitter = LineSplitter()
        self.is_within_line = False

    def feed(self, chunk: bytes) -> ForwardedLines:
        """Returns the bytes that end a line, and all bytes of an overlong line; keeps the others."""
        data = self.pending() + chunk
        lines = self.splitter.feed(chunk)
        end = data.rfind(b"\n") + 1
        if self.splitter.is_overlong or (self.is_within_line and not end):
            end = len(data)
        if end:
            self.is_within_line = data[end - 1 : end] != b"\n"
        return ForwardedLines(data[:end], lines)

    def pending(self) -> bytes:
        """Returns the part of a line that is held back."""
        return b"" if self.is_within_line else self.splitter.partial_line

    def flush(self) -> bytes:
        """Returns the part that is held back, for a server that has closed the connection within a line."""
        data = self.pending()
        self.is_within_line = True  # so that the same bytes are no longer pending
        return data

    def restore(self, part: bytes, is_overlong: bool) -> None:
        """Sets the state of a relay that is taken over. Such a relay holds no part of a line back."""
        self.splitter.partial_line = part
        self.splitter.is_overlong = is_overlong
        self.is_within_line = not self.splitter.is_between_lines
