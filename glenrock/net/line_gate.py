"""Passes on whole lines only, so that a client stands between two of them at any time. Pure."""

from __future__ import annotations

from typing import NamedTuple

from .protocol import LineSplitter


class Passed(NamedTuple):
    """Bytes that may be passed on now, and the lines that ended in what came."""

    data: bytes
    lines: list[bytes]


class LineGate:
    """The way from a server to its client.

    Whoever passed on a part of a line could not move the client while its server hangs in the middle of it: MOVE would
    be read as the rest of that line.

    Attributes:
        splitter: knows the line that has not ended yet.
        mid_line: a part of a line has been passed on, and its end has not.
    """

    def __init__(self) -> None:
        self.splitter = LineSplitter()
        self.mid_line = False

    def feed(self, chunk: bytes) -> Passed:
        """What of these bytes and those held may be passed on now: whole lines, and all there is of one too long."""
        data = self.held() + chunk
        lines = self.splitter.feed(chunk)
        end = data.rfind(b"\n") + 1
        if self.splitter.overlong or (self.mid_line and not end):
            end = len(data)
        if end:
            self.mid_line = data[end - 1 : end] != b"\n"
        return Passed(data[:end], lines)

    def held(self) -> bytes:
        """The part of a line that the client has nothing of."""
        return b"" if self.mid_line else self.splitter.part

    def release(self) -> bytes:
        """What is held, where the server has ended within a line: an end comes in kind."""
        data = self.held()
        self.mid_line = True
        return data

    def restore(self, part: bytes, overlong: bool) -> None:
        """As it stood in another process. A relay that holds part of a line back is never handed over."""
        self.splitter.part = part
        self.splitter.overlong = overlong
        self.mid_line = not self.splitter.between
