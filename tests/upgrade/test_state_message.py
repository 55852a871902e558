"""Messages from a predecessor: what was sent arrives, and whatever else comes is rejected without an effect."""

from __future__ import annotations

import asyncio
import contextlib
import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.config import Address
from glenrock.net.clock import Clock
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.routing.interface import EndpointListKind, EndpointState
from glenrock.upgrade import state_receiver
from glenrock.upgrade.list_selection import is_change_news, unusable_reason
from glenrock.upgrade.state_message import (
    MAX_LIST_ROWS,
    MAX_MESSAGE_BYTES,
    MAX_ROWS_PER_MESSAGE,
    MAX_SENDS_PER_SERVER,
    SOCKET_NAME,
    VERSION,
    Greeting,
    ListBegin,
    ListEnd,
    ManualDrain,
    ReportedList,
    ServerPart,
    ServerSend,
    ServerSends,
    SnapshotEnd,
    StateMessageError,
    StateSnapshot,
    ToldServer,
    decode,
    encode,
    encode_list,
)
from glenrock.upgrade.state_receiver import ListAssembler, StateReceiver
from glenrock.upgrade.unix_socket import listen

BALANCER = "n0"
DISCOVERY = "127.0.0.1:8500"
TIMEOUT_S = 5.0


def server(number: int, zone: str = "a", state: EndpointState = EndpointState.READY) -> ToldServer:
    row = EndpointRow(f"s-{number}", Address("10.0.0.1", 80 + number), state, zone, 3, 1.5, 12.5)
    return ToldServer(row, started_ms=-2.5 if number % 2 else None)


def reported_list(
    servers: list[ToldServer],
    version: int | None = 7,
    kind: EndpointListKind = EndpointListKind.FULL,
    discovery: str = DISCOVERY,
) -> ReportedList:
    return ReportedList(kind, version, discovery, 3.25, tuple(servers))


def assemble(messages: list[bytes]) -> ReportedList | None:
    assembler = ListAssembler()
    reported = None
    for data in messages:
        message = decode(data)
        assert isinstance(message, ListBegin | ServerPart | ListEnd)
        reported = assembler.add(message)
    return reported


@pytest.mark.parametrize("count", [0, 1, MAX_ROWS_PER_MESSAGE, MAX_ROWS_PER_MESSAGE + 1, 3200])
def test_list_arrives_as_it_was_sent_in_messages_within_the_bounds(count: int) -> None:
    servers = [server(number, state=list(EndpointState)[number % 3]) for number in range(count)]
    messages = list(encode_list(reported_list(servers)))
    assert max(map(len, messages)) <= MAX_MESSAGE_BYTES
    assert assemble(messages) == reported_list(servers)


def test_row_that_fits_no_message_is_left_out(caplog: pytest.LogCaptureFixture) -> None:
    servers = [server(1, zone="z" * 10_000), server(2, zone="z" * MAX_MESSAGE_BYTES), server(3, zone="z" * 10_000)]
    messages = list(encode_list(reported_list(servers)))
    assert max(map(len, messages)) <= MAX_MESSAGE_BYTES
    assert assemble(messages) == reported_list([servers[0], servers[2]])
    assert "endpoint row not told to the successor: too long server=s-2" in caplog.text


@given(st.binary(max_size=200) | st.recursive(st.none() | st.text() | st.integers(), st.lists).map(json.dumps))
def test_foreign_bytes_raise_the_one_error_of_the_module(data: bytes | str) -> None:
    with pytest.raises(StateMessageError):
        decode(data.encode() if isinstance(data, str) else data)


@pytest.mark.parametrize("count", [0, 1, MAX_SENDS_PER_SERVER + 3])
def test_latest_sends_of_a_server_arrive(count: int) -> None:
    sends = tuple(ServerSend(-1.5 + number, 2.25 * number) for number in range(count))
    assert decode(encode(ServerSends("s-1", sends))) == ServerSends("s-1", sends[-MAX_SENDS_PER_SERVER:])


GREETING = encode(Greeting(BALANCER))
LIST = list(encode_list(reported_list([server(1), server(2)])))
END = encode(SnapshotEnd())
SNAPSHOT = [GREETING, *LIST, END]
ROWS_MESSAGE = LIST[1]


def test_message_of_an_unknown_kind_is_passed_over() -> None:
    assert decode(b'{"kind": "of a later release", "rows": 3}') is None


async def receive(folder: Path, messages: list[bytes], closes: bool = True) -> StateSnapshot | None:
    """Returns what a successor receives from a predecessor that sends these messages."""
    sock, _ = listen(str(folder), SOCKET_NAME, 1)
    receiving = asyncio.create_task(StateReceiver(str(folder), BALANCER, Clock()).receive_snapshot())
    with sock:
        connection, _ = await asyncio.get_running_loop().sock_accept(sock)
        with connection:
            with contextlib.suppress(ConnectionError):  # the successor ends the exchange at a message it cannot use
                for data in messages:
                    connection.send(data)
                    await asyncio.sleep(0)
            if not closes:
                return await asyncio.wait_for(receiving, TIMEOUT_S)
    return await asyncio.wait_for(receiving, TIMEOUT_S)


def test_whole_snapshot_is_received(tmp_path: Path) -> None:
    later_kind = b'{"kind": "of a later release"}'
    drain = ManualDrain(5.5)
    messages = [GREETING, later_kind, encode(drain), *LIST, later_kind, END]
    assert asyncio.run(receive(tmp_path, messages)) == StateSnapshot(drain, reported_list([server(1), server(2)]))


def test_snapshot_without_a_drain_says_that_there_is_none(tmp_path: Path) -> None:
    snapshot = asyncio.run(receive(tmp_path, SNAPSHOT))
    assert snapshot is not None and snapshot.manual_drain == ManualDrain(None)


@pytest.mark.parametrize(
    ("messages", "error"),
    [
        ([], "has closed the connection"),
        (SNAPSHOT[:-1], "has closed the connection"),
        ([GREETING, LIST[0], LIST[2], END], "unexpected ListEnd after 0 rows"),
        ([GREETING, *LIST[:2], END], "unexpected SnapshotEnd"),
        ([GREETING, END], "unexpected SnapshotEnd"),
        ([GREETING, LIST[1]], "unexpected ServerPart"),
        ([GREETING, LIST[0], LIST[0]], "unexpected ListBegin"),
        (SNAPSHOT[1:], "expected a greeting"),
        ([encode(Greeting("n1")), *LIST, END], "of another balancer"),
        ([GREETING.replace(b'"version": %d' % VERSION, b'"version": 99'), *LIST, END], "version 99"),
        ([GREETING, *LIST[:1], ROWS_MESSAGE[:-20]], "invalid message"),
        ([GREETING, *LIST[:1], ROWS_MESSAGE.replace(b"SERVING", b"SINGING")], "invalid message"),
        ([GREETING, *LIST[:1], ROWS_MESSAGE.replace(b"-2.5", b"NaN")], "expected a number"),
        ([GREETING, *LIST[:1], ROWS_MESSAGE.replace(b"-2.5", b'"1"')], "expected a number"),
        ([GREETING, *LIST[:1], b" " * MAX_MESSAGE_BYTES + b"{}"], "invalid message"),
    ],
)
def test_torn_foreign_or_other_snapshot_is_not_used(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, messages: list[bytes], error: str
) -> None:
    assert asyncio.run(receive(tmp_path, messages)) is None
    assert "predecessor's endpoint list not received" in caplog.text and error in caplog.text


def test_predecessor_that_stops_halfway_is_not_waited_for(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(state_receiver, "SNAPSHOT_TIMEOUT_MS", 50.0)
    assert asyncio.run(receive(tmp_path, SNAPSHOT[:2], closes=False)) is None
    assert "not complete within 50 ms" in caplog.text


def test_list_of_too_many_rows_is_rejected() -> None:
    assembler = ListAssembler()
    assembler.add(ListBegin(EndpointListKind.FULL, 1, DISCOVERY, None))
    part = ServerPart((server(1),) * MAX_ROWS_PER_MESSAGE)
    with pytest.raises(StateMessageError, match="rows"):
        for _ in range(MAX_LIST_ROWS // MAX_ROWS_PER_MESSAGE + 1):
            assembler.add(part)


@pytest.mark.parametrize(
    ("reported", "configured_version", "reason"),
    [
        (reported_list([server(1)], 7), 7, None),
        (reported_list([server(1)], 7), -1, None),
        (reported_list([server(1)], 7), 8, "older"),
        (reported_list([server(1)], None), 8, None),
        (reported_list([server(1)], 7, discovery="127.0.0.1:1"), 8, None),
        (reported_list([server(1)], None, EndpointListKind.CACHED), -1, "has not reported"),
        (reported_list([server(1)], 7, EndpointListKind.CACHED), 7, None),
        (reported_list([], 7), -1, "empty"),
    ],
)
def test_predecessor_list_is_used_unless_the_configured_one_is_newer(
    reported: ReportedList, configured_version: int, reason: str | None
) -> None:
    found = unusable_reason(reported, configured_version, DISCOVERY)
    assert found is None if reason is None else found is not None and reason in found


@pytest.mark.parametrize(
    ("version", "discovery", "has_answered", "is_news"),
    [
        (8, DISCOVERY, True, True),
        (7, DISCOVERY, False, False),
        (6, DISCOVERY, True, False),
        (None, DISCOVERY, False, True),
        (None, DISCOVERY, True, False),
        (8, "127.0.0.1:1", False, True),
        (8, "127.0.0.1:1", True, False),
    ],
)
def test_change_counts_unless_this_process_has_been_told_as_much(
    version: int | None, discovery: str, has_answered: bool, is_news: bool
) -> None:
    change = reported_list([server(1)], version, EndpointListKind.CHANGES, discovery)
    assert is_change_news(change, 7, DISCOVERY, has_answered) is is_news
