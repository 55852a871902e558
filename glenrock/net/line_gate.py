"""Buffers the bytes of a server so that only whole lines are sent to its client. Performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

from .protocol import LineSplitter


class ForwardedLines(NamedTuple):
    """The result of feeding a chunk.

    Attributes:
        data: the bytes that may be sent to the client now.
        lines: the lines that ended in the chunk.
    """

    data: bytes
    lines: list[bytes]


class LineBuffer:
    """Holds back the bytes of a line until the line is complete.

    Otherwise a client whose server hangs in the middle of a line could not be migrated: it would read the migration
    line as the rest of the incomplete one. The bytes of an overlong line are forwarded at once.

    Attributes:
        splitter: splits the server's bytes, and has the line that is not complete yet.
        is_within_line: whether the client has received a part of a line without its end.
    """

    def __init__(self) -> None:
        self.splitter = LineSplitter()
        self.is_within_line = False

    def feed(self, chunk: bytes) -> ForwardedLines:
        """Returns the bytes up to the last line end, and all bytes of an overlong line; holds the others back."""
        data = self.pending() + chunk
        lines = self.splitter.feed(chunk)
        end = data.rfind(b"\n") + 1
        if self.splitter.is_overlong or (self.is_within_line and not end):
            end = len(data)
        if end:
            self.is_within_line = data[end - 1 : end] != b"\n"
        return ForwardedLines(data[:end], lines)

    def pending(self) -> bytes:
        """Returns the part of a line that is held back; empty if there is none."""
        return b"" if self.is_within_line else self.splitter.partial_line

    def flush(self) -> bytes:
        """Returns and releases the part that is held back. Used when a server has closed in the middle of a line."""
        data = self.pending()
        self.is_within_line = True  # the same bytes are no longer pending
        return data

    def restore(self, part: bytes, is_overlong: bool) -> None:
        """Sets the state of a relay that is taken over. Its predecessor held no bytes back when it handed it over."""
        self.splitter.partial_line = part
        self.splitter.is_overlong = is_overlong
        self.is_within_line = not self.splitter.is_between_lines
