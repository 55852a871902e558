"""Streams of protocol lines that arrive in chunks of any size."""

from __future__ import annotations

import itertools
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.net.protocol import MAX_LINE_BYTES, ConfiguredNames, LineSplitter, RequestLineError, parse_request_line

CONFIGURED = ConfiguredNames({"look": 18_000.0})
SHORT_FIELDS = [f"{a}{b}=1" for a, b in itertools.product("abcdefghijklmnopqrstuvwxyz", repeat=2)]
MAX_REQUEST_MEMORY_BYTES = 2 * MAX_LINE_BYTES


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


def test_request_of_very_many_short_fields_takes_little_more_memory_than_its_line() -> None:
    """Guards against hundreds of connections whose requests take 64 KB each, until the process is killed."""
    line = f"OPEN x 1 c=look,d=1000,{','.join(SHORT_FIELDS)}\r\n".encode()
    assert len(line) <= MAX_LINE_BYTES
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        request_lines = [parse_request_line(line, CONFIGURED) for _ in range(20)]
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after_bytes - before_bytes <= len(request_lines) * MAX_REQUEST_MEMORY_BYTES


@pytest.mark.parametrize(
    ("fields", "is_valid"),
    [
        ("c=look,d=1", True),
        ("d=1,c=look,x=y,again=1,g=f", True),
        ("c=look,d=1,x=1,x=2", False),
        ("c=look,d=1,cc=1,ad=2", True),
        ("c=look,d=1,", False),
        (",c=look,d=1", False),
        ("c=look,d=1,x", False),
        ("c=look,d=1,x=", False),
        ("c=look,d=1,x=y=z", False),
        ("c=look,d=1,1x=y", False),
        ("xc=look,d=1", False),
        ("c=look,ad=1", False),
    ],
)
def test_fields_are_checked_whether_or_not_the_balancer_reads_them(fields: str, is_valid: bool) -> None:
    line = f"OPEN x 1 {fields}\r\n".encode()
    if is_valid:
        request_line = parse_request_line(line, CONFIGURED)
        assert request_line.class_name == "look" and request_line.wait_ms == 1.0
        return
    with pytest.raises(RequestLineError):
        parse_request_line(line, CONFIGURED)
