"""What the sub-commands of `glenrock fleet` share: the operator's file, its store, and balancers' own view."""

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

T = TypeVar("T")
ANSWER_TIMEOUT_S = 5.0

file_option = click.option(
    "--file",
    type=click.Path(path_type=Path),
    envvar="LB_FLEET",
    required=True,
    help="The operator's file; LB_FLEET where it is not given.",
)


def query_store(path: Path, query: Callable[[LeaseStore], Awaitable[T]]) -> T:
    """The result of a query on the store that the operator\'s file names.

    Raises:
        CommandFailedError: the store is not there, or does not answer within 5 s.
    """
    from ..coordination import config
    from ..coordination.agent import build_store
    from ..coordination.leases.store import StoreUnavailableError

    settings = config.load(path)
    if settings.store.kind == "sqlite" and not Path(settings.store.path).exists():
        raise CommandFailedError(f"the store {settings.store.path} is not there: no balancer has used it yet")

    async def ask() -> T:
        store = build_store(settings, "operator")
        try:
            return await asyncio.wait_for(query(store), ANSWER_TIMEOUT_S)
        finally:
            await store.close()

    try:
        return asyncio.run(ask())
    except (StoreUnavailableError, TimeoutError, OSError) as error:
        raise CommandFailedError(f"the store does not answer: {error or 'no answer in time'}") from error


def fetch_view(address: str) -> dict[str, Any]:
    """A balancer\'s own view, from its operators\' address, `host:port`.

    Raises:
        CommandFailedError: it does not answer, or does nothing together with others.
    """
    try:
        with urllib.request.urlopen(f"http://{address}/v1/fleet", timeout=ANSWER_TIMEOUT_S) as answer:
            found: dict[str, Any] = json.loads(answer.read())
            return found
    except urllib.error.HTTPError as error:
        raise CommandFailedError(f"{address}: {error.code}: nothing is done together there") from error
    except (OSError, ValueError) as error:
        raise CommandFailedError(f"{address}: {error}") from error


def local_time(unix_s: float) -> str:
    """Date and time of day on this machine."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(unix_s))


def seconds_left(us: int) -> str:
    """The rest of a lease, given in microseconds; a dash where the store does not tell it."""
    return "-" if us < 0 else f"{us / 1e6:.1f} s"
