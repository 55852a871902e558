"""Clients of soaks and tests against a balancer whose lines are written here."""

from __future__ import annotations

import asyncio

import pytest

from glenrock.testbed.clients import Client, ClientPlan
from glenrock.testbed.loopback import Listener, LoopbackNetwork
from glenrock.testbed.records import ConnectionEnd, RequestRecord, RunRecord

FIRST_PORT = 40_000  # beside those of other tests of this process


async def request_answered_with(lines: bytes) -> RequestRecord:
    """Returns what a client saw at a balancer that answers its request with `lines` and closes."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(lines)
        await writer.drain()

    network = LoopbackNetwork()
    network.next_port = FIRST_PORT
    balancer = Listener(network.next(), answer)
    balancer.open()
    try:
        plan = ClientPlan(0, "0a", key=1, service="lookup", deadline_ms=1000.0)
        return await asyncio.wait_for(Client(plan, balancer.address, RunRecord()).run(), 10.0)
    finally:
        balancer.close()


@pytest.mark.parametrize(
    ("lines", "answer", "unexpected"),
    [
        (b"BUSY 300\r\n", "BUSY 300", ""),
        (b"ERR\r\n", "ERR", ""),
        (b"BUSY 300\r\nUP s-1-0a\r\n", "BUSY 300", r"b'UP s-1-0a\r\n'"),
        (b"BUS", "", "b'BUS'"),
        (b"", "", ""),
    ],
)
def test_client_keeps_the_answer_and_notes_everything_after_it(lines: bytes, answer: str, unexpected: str) -> None:
    request = asyncio.run(request_answered_with(lines))
    assert (request.answer, request.unexpected) == (answer, unexpected)
    assert request.end is ConnectionEnd.FINISHED


def test_client_notes_a_migration_and_a_line_that_is_not_its_own() -> None:
    lines = b"UP s-1-0a\r\nhello 0a\r\nhello 0b\r\nMOVE\r\n"
    request = asyncio.run(request_answered_with(lines))
    assert request.is_up
    assert request.is_migrated
    assert request.unexpected == r"b'hello 0b\r\n'"
