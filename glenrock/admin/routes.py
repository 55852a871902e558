"""From method and path to an answer. Owns no truth: it asks the `Operations` that it is given. No I/O."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol
from urllib.parse import unquote_to_bytes

from .call import Answer
from .figures import KIND, Figures

LONGEST_ID = 256


class Operations(Protocol):
    """What operators may ask for. Each returns why not; empty where it was done, or holds."""

    def ready(self) -> str: ...
    def figures(self) -> Figures: ...
    def listed(self, name: str) -> bool: ...  # now or ever
    async def suspend(self, name: str) -> str: ...
    async def resume(self, name: str) -> str: ...
    async def drain(self) -> str: ...
    async def activate(self) -> str: ...
    def together(self) -> str: ...  # what balancers do together, as JSON; empty where that is off


class Later(str):
    """Why it is not done everywhere yet, though it is here, and will be."""


def said(reason: str, done: str, status: int = 503) -> Answer:
    if isinstance(reason, Later):
        return Answer(202, reason + "\n")
    return Answer(status, reason + "\n") if reason else Answer(200, done + "\n")


async def readyz(ops: Operations) -> Answer:
    return said(ops.ready(), "takes clients")


async def metrics(ops: Operations) -> Answer:
    return Answer(200, ops.figures().text(), KIND)


async def drain(ops: Operations) -> Answer:
    return said(await ops.drain(), "clients are sent away")


async def activate(ops: Operations) -> Answer:
    return said(await ops.activate(), "takes clients")


async def together(ops: Operations) -> Answer:
    view = ops.together()
    return Answer(200, view + "\n", "application/json") if view else Answer(404, "no such path\n")


PLAIN: dict[str, tuple[str, Callable[[Operations], Awaitable[Answer]]]] = {
    "/v1/readyz": ("GET", readyz),
    "/v1/metrics": ("GET", metrics),
    "/v1/fleet": ("GET", together),
    "/v1/balancer/drain": ("POST", drain),
    "/v1/balancer/activate": ("POST", activate),
}
SERVERS = "/v1/session-servers/"


async def answer(ops: Operations, method: str, target: bytes) -> Answer:
    path = target.split(b"?", 1)[0].decode("latin-1")
    if path in PLAIN:
        wanted, work = PLAIN[path]
        return await work(ops) if method == wanted else wrong(method, wanted)
    # Split before it is decoded: an id may hold a slash of its own, written %2F.
    raw, slash, what = path.removeprefix(SERVERS).rpartition("/")
    if not path.startswith(SERVERS) or not slash or what not in ("suspend", "resume") or "/" in raw:
        return Answer(404, "no such path\n")
    if method != "POST":
        return wrong(method, "POST")
    try:
        name = unquote_to_bytes(raw).decode()
    except UnicodeDecodeError:
        return Answer(400, "the session server's id is not UTF-8\n")
    if not 0 < len(name) <= LONGEST_ID:
        return Answer(400, f"an id has 1 to {LONGEST_ID} characters\n")
    if not ops.listed(name):
        return Answer(404, "no session server of that id was ever listed\n")
    if what == "suspend":
        return said(await ops.suspend(name), "out of rotation")
    return said(await ops.resume(name), "may serve again")


def wrong(method: str, wanted: str) -> Answer:
    return Answer(405, f"{method} does not go here; {wanted} does\n", allow=wanted)
