"""The name table: discovery's list of instances, fetched whole once and then watched."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import httptools

from ..config import Address
from ..log import say
from .clock import Clock, Limit
from .instance import Entry, end, row_of, tune
from .pace import Pace

BARE_GRACE_MS = 5000  # without any list there is nothing to do but wait, and an answer may be late on a busy machine
OVERBOOKED = (429, 503)
SOON_MS = 50  # the next call is due within 200 ms of an answer
OLDER_TIMES = 4  # an older whole list is believed when told this often in a row
LARGEST = 4 << 20  # bytes of an answer


class Answer:
    """httptools' callbacks for one HTTP answer."""

    def __init__(self) -> None:
        self.body, self.whole, self.keep = bytearray(), False, False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        # Asked here: afterwards the parser has forgotten, and each watch would take a new connection.
        self.whole, self.keep = True, self.parser.should_keep_alive()


def rows_of(raw: dict[str, Any]) -> tuple[int, bool, list[Entry]]:
    """Rows that can't be read are left out; of two for one name the later stands."""
    rows: dict[str, Entry] = {}
    for item in raw["endpoints"]:
        try:
            row = row_of(item)
            if row.name in rows:
                say("name table", f"{row.name} stands twice, at {rows[row.name].address} and {row.address}: "
                    "the later row counts")
            rows[row.name] = row
        except (ValueError, TypeError, KeyError, OverflowError) as bad:
            say("name table", f"row {item!r:.200} left out: {bad!r:.200}")
    index, snapshot = raw["index"], raw["snapshot"]
    if not isinstance(index, int) or not isinstance(snapshot, bool):
        raise ValueError(f"index {index!r}, snapshot {snapshot!r}")
    return index, snapshot, list(rows.values())


class Overbooked(OSError):
    """Discovery answers, but has no room for this call. What it told before stands."""


class Late(OSError):
    """Nothing came in time."""


class NameTable:
    def __init__(self, address: Address, clock: Clock, update: Callable[[str, list[Entry]], None],
                 failed: Callable[[], None], pace: Pace) -> None:
        self.address, self.clock, self.update, self.failed = address, clock, update, failed
        self.pace = pace
        self.sock: socket.socket | None = None
        self.limit: Limit | None = None  # of what the actor waits for now
        self.index: int | None = None
        self.newest = -1  # of the versions that this address has told
        self.older = 0  # answers in a row that were older than that
        self.failures = 0
        self.first = asyncio.Event()  # set when discovery has been heard once

    def remember(self, known: dict[str, Any]) -> None:
        """The list as this balancer had it last. It may be old, so the whole list is still asked for."""
        try:
            index, _, rows = rows_of(known)
            self.update("remembered", rows)
            if rows and self.pace.must_ask:
                self.index = self.newest = index  # a watch from there on is one call, the whole list first makes two
        except (KeyError, TypeError, ValueError) as bad:
            say("name table", f"known: not a list ({bad!r}); starting without")
            self.update("remembered", [])

    @property
    def bare(self) -> bool:
        """Without any list, where the list must be asked for: nothing can be served, and no rule be broken."""
        return self.pace.must_ask and self.newest < 0 and not self.first.is_set()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere from now on. The list held serves until the new one has answered."""
        if address == self.address:
            return
        # The old one may hold its answer back for seconds, or fall silent: nothing more is awaited there. No
        # version of its own means anything elsewhere, so the whole list is asked for.
        self.address, self.index, self.failures = address, None, 0
        self.newest, self.older = -1, 0
        if self.limit:
            self.limit.stop()

    async def within(self, ms: float, work: Coroutine[None, None, Any]) -> Any:
        """The work's result; OSError if it took longer, or if discovery moved meanwhile."""
        async with self.clock.limit(ms) as self.limit:
            try:
                return await work
            finally:
                self.limit = None
        raise Late("no answer in time")

    async def run(self) -> None:
        if wait := self.pace.first(known=self.index is not None):
            with contextlib.suppress(OSError):
                await self.within(2 * wait, self.clock.sleep(wait))
        while True:
            address = self.address
            try:
                await self.call()
                self.failures = 0
                self.pace.heard()
            except Exception as bad:  # whatever discovery sends, the last list goes on serving
                if not isinstance(bad, Overbooked) or address != self.address:
                    self.hang_up()
                if address != self.address:
                    continue
                self.failures += 1
                self.failed()
                # Danger: who has no list yet and is not answered in time has found the line full too. Asked again
                # within a second, 200 of them kept it full of calls that nobody waited for (found on the stage).
                if isinstance(bad, Overbooked) or isinstance(bad, Late) and self.bare:
                    wait = self.pace.overbooked()
                else:
                    wait = self.pace.retry(self.failures)
                if isinstance(bad, Late) and not self.pace.must_ask:
                    # Danger: a watch opened while the agent is silent would wait on after its return, and what it got
                    # there counts at once. So until it answers it is asked for what it has.
                    self.index = None
                say("name table", f"call failed ({bad!r}); again in {wait:.0f} ms")
                with contextlib.suppress(OSError):
                    await self.within(wait, self.clock.sleep(wait * 2))

    async def call(self) -> None:
        wait = self.pace.wait
        query = f"?index={self.index}&wait={wait:.0f}" if self.index is not None else ""
        began = self.clock.now()
        grace = BARE_GRACE_MS if self.bare else self.pace.grace
        raw = await self.within((wait if query else 0) + grace, self.get(f"/discovery/hosts{query}"))
        index, snapshot, rows = rows_of(raw)
        self.check(index, snapshot, rows)
        # The index is taken only with its rows, and the next call follows at once: within 200 ms it
        # continues the watch, later it would start a new one.
        self.index = index
        if not rows and self.clock.now() - began < SOON_MS:
            # A discovery that does not wait must not take all our CPU.
            await self.within(2 * SOON_MS, self.clock.sleep(SOON_MS))
        if rows or snapshot:
            self.update("full" if snapshot else "changes", rows)
        self.first.set()

    def check(self, index: int, snapshot: bool, rows: list[Entry]) -> None:
        """OSError for an answer that must not replace the list held.

        Danger: an empty list would take every instance out of use, and an old one brings back those that have
        left. Only a discovery that says so again and again has started anew, with lower versions.
        """
        if snapshot and not rows:
            raise OSError("an empty list")
        if index < self.newest:
            self.older += 1
            if self.older < OLDER_TIMES or not snapshot:
                self.index = None  # the whole list, to find out
                raise OSError(f"version {index} after {self.newest}")
        self.newest, self.older = index, 0

    async def get(self, path: str) -> Any:
        loop = asyncio.get_running_loop()
        if self.sock is None:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            tune(self.sock)
            await loop.sock_connect(self.sock, self.address)
        host = f"{self.address[0]}:{self.address[1]}"
        await loop.sock_sendall(self.sock, f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        answer, buffer = Answer(), bytearray(16384)
        while not answer.whole:
            count = await loop.sock_recv_into(self.sock, buffer)
            if not count:
                raise OSError("discovery closed the connection")
            answer.parser.feed_data(bytes(buffer[:count]))
            if len(answer.body) > LARGEST:
                raise OSError("the answer is too large")
        if not answer.keep:
            self.hang_up()
        status = answer.parser.get_status_code()
        if status in OVERBOOKED:
            raise Overbooked(f"status {status}: overbooked")
        if status != 200:
            self.index = None  # perhaps it no longer knows that version: start from the whole list
            raise OSError(f"status {status}")
        return json.loads(bytes(answer.body))

    def hang_up(self) -> None:
        if self.sock:
            end(self.sock)
            self.sock = None
