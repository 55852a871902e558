"""The endpoint list of service discovery, fetched whole once and then watched."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import httptools

from glenrock.routing.interface import EndpointListKind

from ..config import Address
from ..log import get_logger
from .clock import Clock, Limit
from .endpoint_rows import EndpointRow, row_of
from .poll_backoff import PollBackoff
from .socket_io import close_socket, configure_socket

NO_LIST_GRACE_MS = (
    5000.0  # without any list there is nothing to do but wait, and an answer may be late on a busy machine
)
OVERBOOKED = (429, 503)
HTTP_OK = 200
SOON_MS = 50.0  # the next call is due within 200 ms of an answer
OLDER_TIMES = 4  # an older whole list is believed when told this often in a row
MAX_ANSWER_BYTES = 4 << 20
MAX_SILENCE_MS = 400.0  # an answer that has begun and brings nothing for so long is given up
MAX_ANSWER_MS = 30_000.0  # and one that has not come whole by then
READ_BYTES = 16384
NO_VERSION = -1

logger = get_logger(__name__)


class DiscoveryError(OSError):
    """A call that brought nothing."""


class OverbookedError(DiscoveryError):
    """Discovery answers, but has no room for this call. What it told before stands."""


class NoAnswerError(DiscoveryError):
    """Nothing came in time."""


class HttpAnswer:
    """httptools' callbacks for one HTTP answer.

    Attributes:
        whole: all of it has come.
        keep: the connection stays open behind it.
    """

    def __init__(self) -> None:
        self.body = bytearray()
        self.whole = False
        self.keep = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """The end of it."""
        # Asked here: afterwards the parser has forgotten, and each watch would take a new connection.
        self.whole = True
        self.keep = self.parser.should_keep_alive()


class EndpointNews(NamedTuple):
    """An answer of discovery: a list or changes of it, with its version."""

    version: int
    is_full: bool
    rows: list[EndpointRow]


def news_of(raw: dict[str, Any]) -> EndpointNews:
    """Rows that can't be read are left out; of two for one name the later stands.

    Raises:
        KeyError, TypeError, ValueError: it is no answer of discovery.
    """
    rows: dict[str, EndpointRow] = {}
    for item in raw["endpoints"]:
        try:
            row = row_of(item)
        except (ValueError, TypeError, KeyError, OverflowError) as error:
            logger.warning("endpoint row ignored", row=f"{item!r:.200}", error=f"{error!r:.200}")
            continue
        if row.name in rows:
            logger.warning(
                "endpoint listed twice: the later row counts",
                server=row.name,
                ignored_address=rows[row.name].address,
                address=row.address,
            )
        rows[row.name] = row
    version, is_full = raw["index"], raw["snapshot"]
    if not isinstance(version, int) or not isinstance(is_full, bool):
        raise ValueError(f"index {version!r}, snapshot {is_full!r}")  # noqa: TRY004 - as for a faulty row
    return EndpointNews(version, is_full, list(rows.values()))


class EndpointWatcher:
    """The actor that asks discovery.

    Attributes:
        address: of discovery.
        newest: the highest version that this address has told.
        first: set when discovery has been heard once.
        pace: when calls come.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        update: Callable[[EndpointListKind, list[EndpointRow]], None],
        failed: Callable[[], None],
        pace: PollBackoff,
        answered: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = address
        self.pace = pace
        self.newest = NO_VERSION
        self.first = asyncio.Event()
        self._clock = clock
        self._update = update
        self._failed = failed
        self._answered = answered
        self._sock: socket.socket | None = None
        self._limit: Limit | None = None  # of what the actor waits for now
        self._version: int | None = None  # that a watch goes on from
        self._older = 0  # answers in a row that were older than the newest
        self._failures = 0

    def remember(self, known: dict[str, Any]) -> None:
        """The list as this balancer had it last. It may be old, so the whole list is still asked for."""
        try:
            news = news_of(known)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("cached endpoint list unusable", error=error)
            self._update(EndpointListKind.CACHED, [])
            return
        self._update(EndpointListKind.CACHED, news.rows)
        if news.rows and self.pace.must_poll:
            # A watch from there on is one call, the whole list first makes two.
            self._version = self.newest = news.version

    @property
    def has_no_list(self) -> bool:
        """Without any list, where it must be polled: nothing can be served, and no rule be broken."""
        return self.pace.must_poll and self.newest < 0 and not self.first.is_set()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere from now on. The list held serves until the new one has answered."""
        if address == self.address:
            return
        # The old one may hold its answer back for seconds, or fall silent: nothing more is awaited there. No version of
        # its own means anything elsewhere, so the whole list is asked for.
        self.address = address
        self._version = None
        self._failures = 0
        self.newest = NO_VERSION
        self._older = 0
        if self._limit:
            self._limit.stop()

    async def _within(self, ms: float, work: Coroutine[None, None, Any]) -> Any:
        """The work's result. NoAnswerError if it took longer, or if discovery moved meanwhile."""
        async with self._clock.limit(ms) as self._limit:
            try:
                return await work
            finally:
                self._limit = None
        raise NoAnswerError("no answer in time")

    async def run(self) -> None:
        """Asks for as long as the program runs."""
        if pause_ms := self.pace.first(known=self._version is not None):
            await self._pause(pause_ms)
        while True:
            address = self.address
            try:
                await self._call()
                self._failures = 0
                self.pace.heard()
            except Exception as error:  # noqa: BLE001 - whatever discovery sends, the last list goes on serving
                if not isinstance(error, OverbookedError) or address != self.address:
                    self._hang_up()
                if address != self.address:
                    continue
                await self._record_failure(error)

    async def _record_failure(self, error: Exception) -> None:
        self._failures += 1
        self._failed()
        # Who has no list yet and is not answered in time has found the line full too. Asked again within a second, 200
        # balancers would keep it full of calls that nobody waits for.
        unheard = isinstance(error, NoAnswerError) and self.has_no_list
        if isinstance(error, OverbookedError) or unheard:
            pause_ms = self.pace.overbooked()
        else:
            pause_ms = self.pace.retry(self._failures)
        if isinstance(error, NoAnswerError) and not self.pace.must_poll:
            # A watch opened while the agent is silent would wait on after its return, and what it got there counts at
            # once. So until it answers it is asked for what it has.
            self._version = None
        logger.warning("endpoint poll failed", error=error, retry_ms=round(pause_ms))
        await self._pause(pause_ms)

    async def _pause(self, ms: float) -> None:
        """Waits, unless discovery moves meanwhile."""
        with contextlib.suppress(OSError):
            await self._within(ms, self._clock.sleep(2 * ms))

    async def _call(self) -> None:
        watch_ms = self.pace.watch_ms if self._version is not None else 0
        query = f"?index={self._version}&wait={watch_ms:.0f}" if self._version is not None else ""
        began_ms = self._clock.now()
        grace_ms = NO_LIST_GRACE_MS if self.has_no_list else self.pace.grace_ms
        raw = await self._get(f"/discovery/hosts{query}", watch_ms + grace_ms)
        news = news_of(raw)
        self._check(news)
        # The version is taken only with its rows, and the next call follows at once: within 200 ms it continues the
        # watch, later it would start a new one.
        self._version = news.version
        if not news.rows and self._clock.now() - began_ms < SOON_MS:
            # A discovery that does not wait must not take all our CPU.
            await self._within(2 * SOON_MS, self._clock.sleep(SOON_MS))
        if news.rows or news.is_full:
            self._update(EndpointListKind.FULL if news.is_full else EndpointListKind.CHANGES, news.rows)
        self._answered()
        self.first.set()

    def _check(self, news: EndpointNews) -> None:
        """DiscoveryError for an answer that must not replace the list held.

        An empty list would take every server out of use, and an old one brings back those that have left. Only a
        discovery that says so again and again has started anew, with lower versions.
        """
        if news.is_full and not news.rows:
            raise DiscoveryError("an empty list")
        if news.version < self.newest:
            self._older += 1
            if self._older < OLDER_TIMES or not news.is_full:
                self._version = None  # the whole list, to find out
                raise DiscoveryError(f"version {news.version} after {self.newest}")
        self.newest = news.version
        self._older = 0

    async def _get(self, path: str, patience_ms: float) -> Any:
        answer = await self._exchange(path, patience_ms)
        if not answer.keep:
            self._hang_up()
        status = answer.parser.get_status_code()
        if status in OVERBOOKED:
            raise OverbookedError(f"status {status}: overbooked")
        if status != HTTP_OK:
            self._version = None  # perhaps it no longer knows that version: start from the whole list
            raise DiscoveryError(f"status {status}")
        return json.loads(bytes(answer.body))

    async def _connected(self) -> socket.socket:
        if self._sock is None:
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            configure_socket(self._sock)
            await asyncio.get_running_loop().sock_connect(self._sock, self.address)
        return self._sock

    async def _exchange(self, path: str, patience_ms: float) -> HttpAnswer:
        """The answer; its first bytes are awaited that long.

        A list of thousands of servers takes its time from a slow discovery. So behind its first bytes only a silence
        gives the answer up, and not its length: called again, all that has come would come again.
        """
        answer = HttpAnswer()
        buffer = bytearray(READ_BYTES)
        until_ms = self._clock.now() + MAX_ANSWER_MS
        await self._within(patience_ms, self._ask(path, answer, buffer))
        while not answer.whole:
            left_ms = min(MAX_SILENCE_MS, until_ms - self._clock.now())
            await self._within(left_ms, self._read_some(answer, buffer))
        return answer

    async def _ask(self, path: str, answer: HttpAnswer, buffer: bytearray) -> None:
        sock = await self._connected()
        host = f"{self.address[0]}:{self.address[1]}"
        request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        await asyncio.get_running_loop().sock_sendall(sock, request)
        await self._read_some(answer, buffer)

    async def _read_some(self, answer: HttpAnswer, buffer: bytearray) -> None:
        assert self._sock is not None, "the call has a connection"
        count = await asyncio.get_running_loop().sock_recv_into(self._sock, buffer)
        if not count:
            raise DiscoveryError("discovery closed the connection")
        answer.parser.feed_data(bytes(buffer[:count]))
        if len(answer.body) > MAX_ANSWER_BYTES:
            raise DiscoveryError("the answer is too large")

    def _hang_up(self) -> None:
        if self._sock:
            close_socket(self._sock)
            self._sock = None
