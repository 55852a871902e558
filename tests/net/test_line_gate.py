"""The lines of a server as a relay forwards them, and what the balancer learns of them."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from glenrock.net.line_gate import LineBuffer, LineSummary
from glenrock.net.protocol import LineSplitter, split_keyword
from glenrock.net.relay_pumps import BUFFER_BYTES

LINE = st.sampled_from(
    [b"LOAD 3\r\n", b"LOAD\r\n", b"LOADED\r\n", b"x LOAD 4\r\n", b"\r\n", b"BYE\r\n", b"y" * 5000 + b"\n"]
)
CHUNK_BYTES = st.integers(1, 20) | st.integers(1, BUFFER_BYTES)


@given(st.lists(LINE, max_size=6), st.lists(CHUNK_BYTES, min_size=1, max_size=5))
def test_summary_is_that_of_the_single_lines(lines: list[bytes], chunk_bytes: list[int]) -> None:
    stream = b"".join(lines)
    buffer, splitter = LineBuffer(), LineSplitter()
    position, forwarded = 0, b""
    for size in itertools.cycle(chunk_bytes):
        chunk = stream[position : position + size]
        position += size
        if not chunk:
            break
        result = buffer.feed(chunk)
        forwarded += result.data
        assert result.summary == summary_of(splitter.feed(chunk))
    assert forwarded == stream


def summary_of(lines: list[bytes]) -> LineSummary:
    """Returns the summary of lines, one by one."""
    load_lines = [line for line in lines if split_keyword(line)[0] == "LOAD"]
    return LineSummary(lines[-1] if lines else b"", load_lines[-1] if load_lines else b"", len(load_lines) < len(lines))
