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

from .main import Failed

if TYPE_CHECKING:
    from ..coordination.leases.store import LeaseStore

T = TypeVar("T")
PATIENCE_S = 5.0

file = click.option(
    "--file",
    type=click.Path(path_type=Path),
    envvar="LB_FLEET",
    required=True,
    help="The operator's file; LB_FLEET where it is not given.",
)


def asked(path: Path, work: Callable[[LeaseStore], Awaitable[T]]) -> T:
    """That asked of the store which the operator's file names."""
    from ..coordination import config
    from ..coordination.agent import store_of
    from ..coordination.leases.store import StoreUnavailableError

    told = config.load(path)
    if told.store.kind == "sqlite" and not Path(told.store.path).exists():
        raise Failed(f"the store {told.store.path} is not there: no balancer has used it yet")

    async def ask() -> T:
        store = store_of(told, "operator")
        try:
            return await asyncio.wait_for(work(store), PATIENCE_S)
        finally:
            await store.close()

    try:
        return asyncio.run(ask())
    except (StoreUnavailableError, TimeoutError, OSError) as bad:
        raise Failed(f"the store does not answer: {bad or 'no answer in time'}") from None


def view(address: str) -> dict[str, Any]:
    """A balancer's own view, from its operators' address."""
    try:
        with urllib.request.urlopen(f"http://{address}/v1/fleet", timeout=PATIENCE_S) as answer:
            return json.loads(answer.read())
    except urllib.error.HTTPError as bad:
        raise Failed(f"{address}: {bad.code}: nothing is done together there") from None
    except (OSError, ValueError) as bad:
        raise Failed(f"{address}: {bad}") from None


def when(unix_s: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(unix_s))


def left(us: int) -> str:
    return "-" if us < 0 else f"{us / 1e6:.1f} s"
