"""Queries of the coordination store and of balancers, shared by the sub-commands of `glenrock fleet`."""

from __future__ import annotations

import asyncio
import json
import time
import urllib.error
import urllib.request
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click

from .main import CommandFailedError

if TYPE_CHECKING:
    from ..coordination.leases.store import LeaseStore

ResultT = TypeVar("ResultT")
RESPONSE_TIMEOUT_S = 5.0
US_PER_SECOND = 1_000_000

coordination_file_option = click.option(
    "--file",
    type=click.Path(path_type=Path),
    envvar="LB_FLEET",
    required=True,
    help="The coordination file. Default: the environment variable LB_FLEET.",
)


def query_store(path: Path, query: Callable[[LeaseStore], Awaitable[ResultT]]) -> ResultT:
    """Runs a query on the store that a coordination file names, and returns its result.

    Raises:
        CommandFailedError: the store does not exist, or does not answer within 5 s.
    """
    from ..coordination import config
    from ..coordination.agent import build_store
    from ..coordination.leases.store import StoreUnavailableError

    settings = config.load(path)
    if settings.store.kind == "sqlite" and not Path(settings.store.path).exists():
        raise CommandFailedError(f"the store {settings.store.path} does not exist; no balancer has used it yet")

    async def run_query() -> ResultT:
        store = build_store(settings, "operator")
        try:
            return await asyncio.wait_for(query(store), RESPONSE_TIMEOUT_S)
        finally:
            await store.close()

    try:
        return asyncio.run(run_query())
    except (StoreUnavailableError, TimeoutError, OSError) as error:
        raise CommandFailedError(
            f"the store does not answer: {error or f'no answer within {RESPONSE_TIMEOUT_S:g} s'}"
        ) from error


def fetch_coordination_view(address: str) -> dict[str, Any]:
    """Fetches the coordination state of a balancer as JSON from its operators' address `host:port`.

    Raises:
        CommandFailedError: the balancer does not answer, or has no coordination configured.
    """
    try:
        with urllib.request.urlopen(f"http://{address}/v1/fleet", timeout=RESPONSE_TIMEOUT_S) as response:
            view: dict[str, Any] = json.loads(response.read())
            return view
    except urllib.error.HTTPError as error:
        raise CommandFailedError(
            f"{address}: HTTP status {error.code}; coordination may not be configured at this balancer"
        ) from error
    except (OSError, ValueError) as error:
        raise CommandFailedError(f"{address}: {error}") from error


def format_local_time(unix_s: float) -> str:
    """Formats a Unix time as date and time in the machine's time zone."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(unix_s))


def format_time_left(remaining_us: int) -> str:
    """Formats the remaining time of a lease in seconds. A negative time means that it is unknown."""
    return "time left unknown" if remaining_us < 0 else f"{remaining_us / US_PER_SECOND:.1f} s left"
