"""Keeps the endpoint list up to date: polls service discovery for the whole list, then watches it for changes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, NamedTuple

from glenrock.routing.interface import EndpointListKind

from ..config import Address
from ..log import get_logger
from .clock import Clock
from .discovery_client import (
    DiscoveryClient,
    DiscoveryClosedError,
    DiscoveryError,
    DiscoveryOverloadedError,
    DiscoveryStatusError,
    DiscoveryTimeoutError,
    ResponseTimeouts,
)
from .endpoint_rows import EndpointRow, parse_row
from .poll_backoff import CallFailure, FailedCall, PollBackoff
from .rate_limit import RateLimit

# A balancer without a list serves no client, so a longer wait breaks no time limit, and on a busy machine an answer may
# be late.
NO_LIST_RESPONSE_GRACE_MS = 5000.0
MIN_POLL_INTERVAL_MS = 50.0  # after an empty response; below 200 ms, when discovery ends a watch that is not renewed
POLL_BURST = 8  # calls that may follow each other at once; later ones `MIN_POLL_INTERVAL_MS` apart
MAX_ROWS = 16_384  # of a response: all servers that are kept, and as many that are gone
OLDER_RESPONSES_TO_ACCEPT = 4  # the last of this many consecutive older responses is accepted if it is a whole list
NO_VERSION = -1

logger = get_logger(__name__)


class EndpointListResponse(NamedTuple):
    """A response of discovery with the version of the endpoint list.

    Attributes:
        version: the version of the list.
        is_full: whether `rows` are the whole list, and not only the rows that changed.
        rows: the valid rows, one for each server.
    """

    version: int
    is_full: bool
    rows: list[EndpointRow]


def parse_response(raw: dict[str, Any]) -> EndpointListResponse:
    """Parses a response of discovery.

    Invalid rows are logged and skipped. If a server is listed twice, its later row is used.

    Raises:
        KeyError, TypeError, ValueError: the object is not a valid response of discovery.
    """
    rows: dict[str, EndpointRow] = {}
    if len(raw["endpoints"]) > MAX_ROWS:
        raise ValueError(f"{len(raw['endpoints'])} rows, at most {MAX_ROWS} are read")
    for item in raw["endpoints"]:
        try:
            row = parse_row(item)
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
    version = raw["index"]
    is_full = raw["snapshot"]
    if not isinstance(version, int) or not isinstance(is_full, bool):
        raise ValueError(f"invalid index {version!r} or snapshot {is_full!r}")  # noqa: TRY004 - as for an invalid row
    return EndpointListResponse(version, is_full, list(rows.values()))


def _failure_of(error: Exception) -> CallFailure:
    """Returns how a call failed that raised this error."""
    if isinstance(error, DiscoveryOverloadedError):
        return CallFailure.REJECTED
    if isinstance(error, DiscoveryClosedError):
        return CallFailure.CLOSED
    if isinstance(error, DiscoveryTimeoutError):
        return CallFailure.TIMED_OUT
    if isinstance(error, OSError) and not isinstance(error, DiscoveryError):
        return CallFailure.UNREACHABLE
    return CallFailure.UNUSABLE


class EndpointWatcher:
    """The actor that polls discovery.

    Attributes:
        newest_version: the version last accepted from the current discovery, or that of the cached list; `NO_VERSION`
            if there is none.
        has_answered: set at the first valid response.
        backoff: computes the timeouts of calls and the delays between them.

    Args:
        address: the address of discovery.
        clock: the process's clock.
        on_endpoints: called with each list or change.
        on_failure: called after each failed call.
        backoff: computes the timeouts of calls and the delays between them.
        on_response: called after each valid response.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        on_endpoints: Callable[[EndpointListKind, list[EndpointRow]], None],
        on_failure: Callable[[], None],
        backoff: PollBackoff,
        on_response: Callable[[], None] = lambda: None,
    ) -> None:
        self.backoff = backoff
        self.newest_version = NO_VERSION
        self.has_answered = asyncio.Event()
        self._clock = clock
        self._client = DiscoveryClient(address, clock)
        self._on_endpoints = on_endpoints
        self._on_failure = on_failure
        self._on_response = on_response
        self._watch_version: int | None = None  # for the next watch; None to poll the whole list
        self._continues_watch = False  # whether the next watch continues the last one, and is not queued
        self._has_moved = False  # whether discovery has another address since the last call
        self._consecutive_older_responses = 0
        self._call_limit = RateLimit(MIN_POLL_INTERVAL_MS, POLL_BURST)

    @property
    def address(self) -> Address:
        """The address of discovery."""
        return self._client.address

    @property
    def has_no_list(self) -> bool:
        """Whether the list is polled from a shared service and none is known yet, so that no client can be served."""
        return self.backoff.must_poll and self.newest_version < 0 and not self.has_answered.is_set()

    def use_cached_list(self, raw: dict[str, Any]) -> None:
        """Uses the cached list of an earlier run until discovery responds. An invalid list is logged and ignored."""
        try:
            response = parse_response(raw)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("cached endpoint list unusable", error=error)
            self._on_endpoints(EndpointListKind.CACHED, [])
            return
        self._on_endpoints(EndpointListKind.CACHED, response.rows)
        if response.rows and self.backoff.must_poll:
            # Watching from the cached version costs one call. Polling the whole list first would cost two.
            self._watch_version = self.newest_version = response.version

    def use_predecessor_list(self, version: int | None, kind: EndpointListKind, rows: list[EndpointRow]) -> None:
        """Uses the list of the process that this one replaces in an upgrade, until discovery responds.

        Args:
            version: the version of the list at the present discovery; None if it is unknown.
            kind: whether discovery has reported the list, or the predecessor had it from its own start.
            rows: the rows of the list, with those of servers that are gone.
        """
        if version is not None:
            self.newest_version = version
            if self.backoff.must_poll:
                self._watch_version = version
        self._on_endpoints(kind, rows)

    def change_address(self, address: Address) -> None:
        """Polls discovery at another address. The present list is used until the first response."""
        if address == self.address:
            return
        # The call in progress is interrupted, because the previous discovery may delay its response for seconds. The
        # whole list is polled, because versions of one discovery are unknown to another.
        self._client.address = address
        self._has_moved = True
        self._watch_version = None
        self._continues_watch = False
        self.newest_version = NO_VERSION
        self._consecutive_older_responses = 0
        self.backoff.forget_failures()
        self._client.interrupt()

    async def run(self, *, is_successor: bool = False) -> None:
        """Polls discovery for as long as the program runs.

        Args:
            is_successor: whether this process continues one whose list may be newer than the cached list.
        """
        if is_successor:
            await self._sleep(self.backoff.prompt_call_delay_ms())
        else:
            await self._sleep(self.backoff.first_call_delay_ms(has_list=self._watch_version is not None))
        while True:
            if self._has_moved:
                await self._sleep(self.backoff.prompt_call_delay_ms())
                self._has_moved = False
            await self._sleep(self._call_limit.reserve(self._clock.now_ms()))
            address = self.address
            started_ms = self._clock.now_ms()
            try:
                await self._poll()
                self.backoff.record_answer()
            except Exception as error:  # noqa: BLE001 - the last list stays in use, whatever the error
                if not isinstance(error, DiscoveryOverloadedError):
                    self._client.disconnect()
                if address != self.address:
                    continue
                await self._handle_failure(error, self._clock.now_ms() - started_ms)

    async def _handle_failure(self, error: Exception, waited_ms: float) -> None:
        self._on_failure()
        has_list = not self.has_no_list
        failed_call = FailedCall(_failure_of(error), waited_ms, self._continues_watch, has_list)
        delay_ms = self.backoff.delay_after_failure_ms(failed_call)
        self._continues_watch = False
        if failed_call.failure is CallFailure.TIMED_OUT and not self.backoff.must_poll:
            # The list counts as reported as soon as the agent responds again. A watch would get its response only after
            # the next change, so the whole list is polled.
            self._watch_version = None
        logger.warning("endpoint poll failed", error=error, waited_ms=round(waited_ms), retry_ms=round(delay_ms))
        await self._sleep(delay_ms)

    async def _sleep(self, delay_ms: float) -> None:
        """Waits for `delay_ms`, or until discovery's address changes."""
        if not delay_ms:
            return
        # `change_address` interrupts `run_with_timeout`. The inner sleep is longer than the timeout, so that the wait
        # always ends by the timeout or by the interruption.
        with contextlib.suppress(OSError):
            await self._client.run_with_timeout(delay_ms, self._clock.sleep(2 * delay_ms))

    def _watch_timeout_ms(self) -> float:
        """Returns how long discovery may delay the response to the next watch."""
        if self._continues_watch:
            return self.backoff.draw_watch_timeout_ms()
        return self.backoff.new_watch_timeout_ms

    async def _poll(self) -> None:
        version = self._watch_version
        watch_ms = 0.0 if version is None else self._watch_timeout_ms()
        query = f"?index={version}&wait={watch_ms:.0f}" if version is not None else ""
        started_ms = self._clock.now_ms()
        grace_ms = NO_LIST_RESPONSE_GRACE_MS if self.has_no_list else self.backoff.response_grace_ms
        try:
            timeouts = ResponseTimeouts(watch_ms + grace_ms, self.backoff.whole_response_ms)
            raw = await self._client.get(f"/discovery/hosts{query}", timeouts)
        except DiscoveryStatusError:
            self._watch_version = None  # discovery may no longer have this version
            raise
        response = parse_response(raw)
        self._reject_empty_or_older(response)
        self._watch_version = response.version
        self._continues_watch = True
        if not response.rows and self._clock.now_ms() - started_ms < MIN_POLL_INTERVAL_MS:
            # Without a delay, a discovery that ends each watch at once would make this a busy loop.
            await self._client.run_with_timeout(2 * MIN_POLL_INTERVAL_MS, self._clock.sleep(MIN_POLL_INTERVAL_MS))
        if response.rows or response.is_full:
            self._on_endpoints(EndpointListKind.FULL if response.is_full else EndpointListKind.CHANGES, response.rows)
        self._on_response()
        self.has_answered.set()

    def _reject_empty_or_older(self, response: EndpointListResponse) -> None:
        """Rejects a response that must not replace the present list.

        An empty list would remove all servers, and an older list would restore servers that are gone. A discovery that
        has restarted with lower versions is recognized by `OLDER_RESPONSES_TO_ACCEPT` consecutive older responses.

        Raises:
            DiscoveryError: the list is empty, or its version is older than that of the present list.
        """
        if response.is_full and not response.rows:
            raise DiscoveryError("discovery sent an empty endpoint list")
        if response.version < self.newest_version:
            self._consecutive_older_responses += 1
            if self._consecutive_older_responses < OLDER_RESPONSES_TO_ACCEPT or not response.is_full:
                self._watch_version = None  # the next call asks for the whole list
                raise DiscoveryError(f"endpoint list version {response.version} is older than {self.newest_version}")
        self.newest_version = response.version
        self._consecutive_older_responses = 0
