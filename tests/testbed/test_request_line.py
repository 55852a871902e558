"""Lines of the protocol as the stand-ins write and read them."""

from __future__ import annotations

import pytest

from glenrock.testbed.request_line import Answer, AnswerKind, RequestLine

LINES = [
    (RequestLine("0a", "0f", "browse", deadline_ms=300.0), b"OPEN 0a 0f c=browse,d=300\r\n"),
    (
        RequestLine("0.2", "1c", "browse", tenant="all", group=0, deadline_ms=1999.6, is_retry=True),
        b"OPEN 0.2 1c c=browse,t=all,g=0,d=2000,again=1\r\n",
    ),
    (
        RequestLine("0.1", "1c", "browse", tenant="all", group=255, resumes_at="s-001"),
        b"OPEN 0.1 1c c=browse,t=all,g=ff,at=s-001\r\n",
    ),
]


@pytest.mark.parametrize(("request_line", "line"), LINES)
def test_request_is_written_with_the_fields_that_it_has(request_line: RequestLine, line: bytes) -> None:
    assert request_line.encode() == line


@pytest.mark.parametrize("line", [line for _, line in LINES])
def test_request_line_is_read_back_as_it_was_written(line: bytes) -> None:
    assert RequestLine.decode(line).encode() == line


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (b"UP s-001-0.1\r\n", Answer(AnswerKind.UP, "UP s-001-0.1")),
        (b"BUSY 300\r\n", Answer(AnswerKind.BUSY, "BUSY 300")),
        (b"ERR\r\n", Answer(AnswerKind.ERROR, "ERR")),
        (b"HELLO\r\n", Answer(AnswerKind.UNKNOWN, "HELLO")),
        (b"BUS", Answer(AnswerKind.CLOSED, partial=b"BUS")),
        (b"", Answer(AnswerKind.CLOSED)),
    ],
)
def test_answer_line_is_read(line: bytes, answer: Answer) -> None:
    assert Answer.decode(line) == answer


def test_answer_names_its_server_and_its_delay() -> None:
    assert Answer.decode(b"UP s-001-0.1\r\n").server == "s-001"
    assert Answer.decode(b"BUSY 300\r\n").retry_after_us == 300_000
    assert Answer.decode(b"BUSY\r\n").retry_after_us == 0
