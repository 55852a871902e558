"""Keeps the endpoint list up to date: polls service discovery for the whole list, then watches its changes."""

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
    DiscoveryError,
    DiscoveryOverloadedError,
    DiscoveryStatusError,
    DiscoveryTimeoutError,
)
from .endpoint_rows import EndpointRow, parse_row
from .poll_backoff import PollBackoff

NO_LIST_RESPONSE_GRACE_MS = 5000.0  # without a list the balancer can only wait
MIN_POLL_INTERVAL_MS = 50.0  # after an empty answer; a watch ends if its next call does not follow within 200 ms
OLDER_RESPONSES_TO_ACCEPT = 4  # in a row; a whole list of an older version then replaces the present list
NO_VERSION = -1

logger = get_logger(__name__)


class EndpointListResponse(NamedTuple):
    """An answer of discovery: a list or changes to it, with its version."""

    version: int
    is_full: bool
    rows: list[EndpointRow]


def parse_response(raw: dict[str, Any]) -> EndpointListResponse:
    """Returns an answer without its unreadable rows; of two rows with one name the later counts.

    Raises:
        KeyError, TypeError, ValueError: the object is not an answer of discovery.
    """
    rows: dict[str, EndpointRow] = {}
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
        raise ValueError(f"index {version!r}, snapshot {is_full!r}")  # noqa: TRY004 - as for an invalid row
    return EndpointListResponse(version, is_full, list(rows.values()))


class EndpointWatcher:
    """The actor that polls discovery.

    Attributes:
        newest_version: the highest version that the present discovery has reported.
        has_answered: set at the first valid answer.
        backoff: the delays between calls.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        update: Callable[[EndpointListKind, list[EndpointRow]], None],
        on_failure: Callable[[], None],
        backoff: PollBackoff,
        on_answer: Callable[[], None] = lambda: None,
    ) -> None:
        self.backoff = backoff
        self.newest_version = NO_VERSION
        self.has_answered = asyncio.Event()
        self._clock = clock
        self._client = DiscoveryClient(address, clock)
        self._update = update
        self._on_failure = on_failure
        self._on_answer = on_answer
        self._watch_version: int | None = None  # that the next watch starts from; None to poll the whole list
        self._consecutive_older_responses = 0  # in a row
        self._consecutive_failures = 0  # in a row

    @property
    def address(self) -> Address:
        """The address of discovery."""
        return self._client.address

    @property
    def has_no_list(self) -> bool:
        """Whether there is no list, and no agent on this machine that reports it: no client can be served."""
        return self.backoff.must_poll and self.newest_version < 0 and not self.has_answered.is_set()

    def use_cached_list(self, raw: dict[str, Any]) -> None:
        """Uses the list of an earlier run until discovery answers. An unusable list is logged and ignored."""
        try:
            answer = parse_response(raw)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("cached endpoint list unusable", error=error)
            self._update(EndpointListKind.CACHED, [])
            return
        self._update(EndpointListKind.CACHED, answer.rows)
        if answer.rows and self.backoff.must_poll:
            # A watch from the cached version is one call; the whole list and a watch would be two.
            self._watch_version = self.newest_version = answer.version

    def change_address(self, address: Address) -> None:
        """Polls discovery at another address. The present list is used until the first answer."""
        if address == self.address:
            return
        # The earlier discovery may delay its answer for seconds, so the call is ended. Versions of one discovery mean
        # nothing to another, so the whole list is polled.
        self._client.address = address
        self._watch_version = None
        self._consecutive_failures = 0
        self.newest_version = NO_VERSION
        self._consecutive_older_responses = 0
        self._client.interrupt()

    async def run(self) -> None:
        """Polls discovery for as long as the program runs."""
        if delay_ms := self.backoff.first_call_delay_ms(has_list=self._watch_version is not None):
            await self._sleep(delay_ms)
        while True:
            address = self.address
            try:
                await self._poll()
                self._consecutive_failures = 0
                self.backoff.record_answer()
            except Exception as error:  # noqa: BLE001 - the last list stays in use, whatever discovery sends
                if not isinstance(error, DiscoveryOverloadedError) or address != self.address:
                    self._client.disconnect()
                if address != self.address:
                    continue
                await self._handle_failure(error)

    async def _handle_failure(self, error: Exception) -> None:
        self._consecutive_failures += 1
        self._on_failure()
        # Without a list, a call without an answer counts as rejected: discovery is probably overloaded, and a retry
        # within a second would add to its load.
        has_no_answer = isinstance(error, DiscoveryTimeoutError)
        if isinstance(error, DiscoveryOverloadedError) or (has_no_answer and self.has_no_list):
            delay_ms = self.backoff.overload_delay_ms()
        else:
            delay_ms = self.backoff.retry_delay_ms(self._consecutive_failures)
        if has_no_answer and not self.backoff.must_poll:
            # The list counts as reported as soon as the agent answers again. A watch is answered only after the next
            # change, so the whole list is polled.
            self._watch_version = None
        logger.warning("endpoint poll failed", error=error, retry_ms=round(delay_ms))
        await self._sleep(delay_ms)

    async def _sleep(self, delay_ms: float) -> None:
        """Waits for that time, or until discovery's address changes."""
        # `change_address` interrupts `run_with_timeout`; the sleep in it is longer, so that it never ends first.
        with contextlib.suppress(OSError):
            await self._client.run_with_timeout(delay_ms, self._clock.sleep(2 * delay_ms))

    async def _poll(self) -> None:
        version = self._watch_version
        watch_ms = self.backoff.watch_timeout_ms if version is not None else 0
        query = f"?index={version}&wait={watch_ms:.0f}" if version is not None else ""
        started_ms = self._clock.now_ms()
        grace_ms = NO_LIST_RESPONSE_GRACE_MS if self.has_no_list else self.backoff.response_grace_ms
        try:
            raw = await self._client.get(f"/discovery/hosts{query}", watch_ms + grace_ms)
        except DiscoveryStatusError:
            self._watch_version = None  # discovery may no longer know that version
            raise
        answer = parse_response(raw)
        self._reject_empty_or_older(answer)
        self._watch_version = answer.version
        if not answer.rows and self._clock.now_ms() - started_ms < MIN_POLL_INTERVAL_MS:
            # A discovery that answers a watch at once would make the loop spin.
            await self._client.run_with_timeout(2 * MIN_POLL_INTERVAL_MS, self._clock.sleep(MIN_POLL_INTERVAL_MS))
        if answer.rows or answer.is_full:
            self._update(EndpointListKind.FULL if answer.is_full else EndpointListKind.CHANGES, answer.rows)
        self._on_answer()
        self.has_answered.set()

    def _reject_empty_or_older(self, answer: EndpointListResponse) -> None:
        """Rejects an answer that must not replace the present list.

        An empty list would take all servers out of use, and an old one brings back servers that are gone. A discovery
        that has restarted with lower versions repeats its answer.

        Raises:
            DiscoveryError: the list is empty, or of an older version.
        """
        if answer.is_full and not answer.rows:
            raise DiscoveryError("an empty list")
        if answer.version < self.newest_version:
            self._consecutive_older_responses += 1
            if self._consecutive_older_responses < OLDER_RESPONSES_TO_ACCEPT or not answer.is_full:
                self._watch_version = None  # to poll the whole list
                raise DiscoveryError(f"version {answer.version} after {self.newest_version}")
        self.newest_version = answer.version
        self._consecutive_older_responses = 0
