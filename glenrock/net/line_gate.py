"""Buffers the bytes of a server so that only whole lines are sent to its client. Performs no I/O."""

from __future__ import annotations

import re
from typing import NamedTuple

from .protocol import MAX_LINE_BYTES, ServerKeyword

_LOAD = ServerKeyword.LOAD.value.encode()
_LOAD_LINE_START = b"\n" + _LOAD + b" "
_BARE_LOAD_LINE = re.compile(b"^" + _LOAD + rb"(?=\r*$)", re.MULTILINE)  # a report without its load


class LineSummary(NamedTuple):
    """What a balancer needs to know of the whole lines that ended in a chunk.

    A chunk may have thousands of lines, so no object is made of each.

    Attributes:
        last_line: the last line that is no overlong one, with its end; empty if there is none.
        last_load_line: the last load report; empty if there is none.
        has_other_line: whether there is a line that is no load report.
    """

    last_line: bytes = b""
    last_load_line: bytes = b""
    has_other_line: bool = False


class ForwardedLines(NamedTuple):
    """The result of feeding a chunk.

    Attributes:
        data: the bytes that may be sent to the client now.
        summary: the lines that ended in the chunk.
    """

    data: bytes
    summary: LineSummary


class LineBuffer:
    """Holds back the bytes of a line until the line is complete.

    Otherwise a client whose server hangs in the middle of a line could not be migrated: it would read the migration
    line as the rest of the incomplete one. The bytes of an overlong line are forwarded at once.

    Attributes:
        partial_line: the bytes of the line that has not ended yet; empty if that line is overlong.
        is_overlong: whether the line that has not ended yet exceeds `MAX_LINE_BYTES`.
        is_within_line: whether the client has received a part of a line without its end.
    """

    def __init__(self) -> None:
        self.partial_line = b""
        self.is_overlong = False
        self.is_within_line = False

    def feed(self, chunk: bytes) -> ForwardedLines:
        """Returns the bytes up to the last line end, and all bytes of an overlong line; holds the others back."""
        data = self.pending() + chunk
        summary = self._split(chunk)
        end = data.rfind(b"\n") + 1
        if self.is_overlong or (self.is_within_line and not end):
            end = len(data)
        if end:
            self.is_within_line = data[end - 1 : end] != b"\n"
        return ForwardedLines(data[:end], summary)

    def _split(self, chunk: bytes) -> LineSummary:
        """Returns the lines that end in the chunk, without overlong ones, and keeps the line that does not end."""
        end = chunk.rfind(b"\n") + 1
        if not end:
            self._keep(chunk)
            return LineSummary()
        ended = self.partial_line + chunk[:end]
        if self.is_overlong:
            ended = ended[ended.find(b"\n") + 1 :]
        self.partial_line, self.is_overlong = b"", False
        self._keep(chunk[end:])
        return _summarize(ended)

    def _keep(self, rest: bytes) -> None:
        if self.is_overlong:
            return
        self.partial_line += rest
        if len(self.partial_line) >= MAX_LINE_BYTES:
            self.partial_line, self.is_overlong = b"", True

    def pending(self) -> bytes:
        """Returns the part of a line that is held back; empty if there is none."""
        return b"" if self.is_within_line else self.partial_line

    def flush(self) -> bytes:
        """Returns and releases the part that is held back. Used when a server has closed in the middle of a line."""
        data = self.pending()
        self.is_within_line = True  # the same bytes are no longer pending
        return data

    def restore(self, part: bytes, is_overlong: bool) -> None:
        """Sets the state of a relay that is taken over. Its predecessor held no bytes back when it handed it over."""
        self.partial_line = part
        self.is_overlong = is_overlong
        self.is_within_line = bool(part) or is_overlong


def _has_overlong_line(lines: bytes) -> bool:
    """Returns whether one of these whole lines is overlong. Looks at one line end in each `MAX_LINE_BYTES`."""
    start = 0
    while len(lines) - start > MAX_LINE_BYTES:
        end = lines.rfind(b"\n", start, start + MAX_LINE_BYTES)
        if end < 0:
            return True
        start = end + 1
    return False


def _summarize(lines: bytes) -> LineSummary:
    """Returns the summary of whole lines, without overlong ones."""
    if _has_overlong_line(lines):
        lines = b"".join(part + b"\n" for part in lines.split(b"\n")[:-1] if len(part) < MAX_LINE_BYTES)
    if not lines:
        return LineSummary()
    last_line = lines[lines.rfind(b"\n", 0, -1) + 1 :]
    if _LOAD not in lines:
        return LineSummary(last_line, has_other_line=True)
    from_start = b"\n" + lines
    start = from_start.rfind(_LOAD_LINE_START)
    load_lines = from_start.count(_LOAD_LINE_START)
    for bare in _BARE_LOAD_LINE.finditer(lines):
        start = max(start, bare.start())
        load_lines += 1
    last_load_line = lines[start : lines.index(b"\n", start) + 1] if load_lines else b""
    return LineSummary(last_line, last_load_line, load_lines < lines.count(b"\n"))
