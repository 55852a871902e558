"""Streams of protocol lines that arrive in chunks of any size."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from glenrock.net.protocol import LineSplitter


@given(
    st.lists(st.binary(max_size=12).map(lambda data: data.replace(b"\n", b" ")), max_size=6),
    st.binary(max_size=6).map(lambda data: data.replace(b"\n", b"")),
    st.data(),
)
def test_splitter_returns_the_same_lines_however_the_stream_is_cut(
    lines: list[bytes], rest: bytes, data: st.DataObject
) -> None:
    stream = b"".join(line + b"\n" for line in lines) + rest
    splitter = LineSplitter()
    split_lines: list[bytes] = []
    position = 0
    while position < len(stream):
        size = data.draw(st.integers(1, len(stream) - position))
        split_lines += splitter.feed(stream[position : position + size])
        position += size
    assert split_lines == [line + b"\n" for line in lines]
    assert splitter.is_between_lines == (not rest)
