"""A stand-in for discovery as one balancer calls it: whole lists, watches, and the faults of both."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol
from urllib.parse import parse_qs, urlsplit

from .call_queue import CallQueue
from .endpoint_directory import EndpointDirectory, ListedServer
from .loopback import Address, Listener, reset_connection
from .records import ListedRecord, RunRecord

PATH = "/discovery/hosts"
MAX_WATCH_S = 60.0
WATCH_GAP_S = 0.2  # a call within this of the last answer continues its watch, and does not wait in line
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
SLOW_PIECES = 20  # of a slow answer


class DiscoveryObserver(Protocol):
    """Notes what an agent does."""

    def note_call(self, balancer: int) -> None:
        """A balancer called."""

    def note_listed(self, balancer: int, server: ListedServer) -> None:
        """A balancer was sent the status of a server."""


class RecordingObserver:
    """Adds what balancers were sent to the records of a run."""

    def __init__(self, record: RunRecord) -> None:
        self._record = record

    def note_call(self, balancer: int) -> None:
        """Does nothing."""

    def note_listed(self, balancer: int, server: ListedServer) -> None:
        """Adds a record."""
        self._record.listed.append(ListedRecord(balancer, server.name, server.status, time.monotonic()))


class DiscoveryAgent:
    """The discovery of one balancer: an agent on its machine, or with a queue a service for all.

    Attributes:
        balancer: the number of the balancer that calls it.
        slow_s: an answer takes this long from its first byte to its last.
        cuts: so many of the next answers break off in their middle.
        calls: accepted so far. `rejected_calls`: answered 503. `bytes_sent`: of all answers.
        first_answer_s: on the loop's clock; None before.
    """

    def __init__(
        self,
        balancer: int,
        address: Address,
        directory: EndpointDirectory,
        observer: DiscoveryObserver,
        queue: CallQueue | None = None,
    ) -> None:
        self.slow_s = 0.0
        self.cuts = 0
        self.calls = 0
        self.rejected_calls = 0
        self.bytes_sent = 0
        self.first_answer_s: float | None = None
        self._last_answer_s = float("-inf")
        self._rejects_calls = asyncio.Event()
        self._answers_calls = asyncio.Event()
        self._answers_calls.set()
        self.balancer = balancer
        self._directory = directory
        self._observer = observer
        self._queue = queue
        self._listener = Listener(address, self._serve)

    @property
    def address(self) -> Address:
        """Where the balancer calls."""
        return self._listener.address

    @property
    def rejects(self) -> bool:
        """Whether it is down: it answers 503, and ends open watches."""
        return self._rejects_calls.is_set()

    @rejects.setter
    def rejects(self, rejects: bool) -> None:
        if rejects:
            self._rejects_calls.set()
        else:
            self._rejects_calls.clear()

    @property
    def is_silent(self) -> bool:
        """Whether calls are accepted and not answered."""
        return not self._answers_calls.is_set()

    def set_silent(self, is_silent: bool) -> None:
        """Leaves calls unanswered from now on, or answers all that wait."""
        if is_silent:
            self._answers_calls.clear()
        else:
            self._answers_calls.set()

    def open(self) -> None:
        """Listens from now on."""
        self._listener.open()

    def close(self) -> None:
        """Ends all connections."""
        self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.calls += 1
            target = urlsplit(head.split(b" ", 2)[1].decode())
            if target.path != PATH:
                await self._send(writer, 404, b"{}")
            elif not await self._answer(parse_qs(target.query), writer):
                return

    async def _answer(self, query: dict[str, list[str]], writer: asyncio.StreamWriter) -> bool:
        """Returns False where the connection was ended."""
        self._observer.note_call(self.balancer)
        since = int(query["index"][0]) if "index" in query else None
        if self.rejects or not await self._is_served(since):
            self.rejected_calls += 1
            return await self._send(writer, 503, b"{}")
        if self.first_answer_s is None:
            self.first_answer_s = asyncio.get_running_loop().time()
        if since is not None and since >= self._directory.version:
            wait_ms = float(query.get("wait", ["0"])[0])
            await self._wait_for_change(min(MAX_WATCH_S, wait_ms / 1000))
        await self._answers_calls.wait()
        if self.rejects:
            reset_connection(writer)
            return False
        return await self._send_list(writer, since)

    async def _wait_for_change(self, timeout_s: float) -> None:
        """Waits until the list changes, this discovery goes down, or time is up."""
        waits = (
            asyncio.create_task(self._directory.wait_for_change(timeout_s)),
            asyncio.create_task(self._rejects_calls.wait()),
        )
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    async def _is_served(self, since: int | None) -> bool:
        """Waits in the service's queue, where there is one. A call that continues a watch does not wait."""
        continues_watch = since is not None and asyncio.get_running_loop().time() - self._last_answer_s < WATCH_GAP_S
        return continues_watch or self._queue is None or await self._queue.wait_turn()

    async def _send_list(self, writer: asyncio.StreamWriter, since: int | None) -> bool:
        """Sends the list or its changes, and notes them as sent. Returns False where the answer was cut off."""
        if not await self._send(writer, 200, self._directory.answer_bytes(self.balancer, since)):
            return False
        self._last_answer_s = asyncio.get_running_loop().time()
        # A change that the agent has counts as sent, even if it came after the answer was made.
        for server in self._directory.changed_since(since):
            self._observer.note_listed(self.balancer, server)
        return True

    async def _send(self, writer: asyncio.StreamWriter, status: int, body: bytes) -> bool:
        """Returns False where the answer was cut off."""
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n\r\n"
        data = head.encode() + body
        self.bytes_sent += len(data)
        if self.cuts and status == 200:
            self.cuts -= 1
            writer.write(data[: len(data) // 2])
            await writer.drain()
            reset_connection(writer)
            return False
        pieces = SLOW_PIECES if self.slow_s else 1
        size = max(1, -(-len(data) // pieces))
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            if self.slow_s:
                await asyncio.sleep(self.slow_s / pieces)
        return True
