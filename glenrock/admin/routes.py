"""From method and path to a response. Owns no state: it asks the `Operations` that it is given. No I/O."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol
from urllib.parse import unquote_to_bytes

from ..operation_errors import OperationPendingError, OperationRejectedError
from .http_message import HttpResponse
from .prometheus_text import CONTENT_TYPE, MetricsSnapshot

MAX_SERVER_ID_LENGTH = 256  # characters
SERVERS_PATH = "/v1/session-servers/"


class Operations(Protocol):
    """What operators may ask for. Each call raises an OperationError unless it took effect at every balancer."""

    def unready_reason(self) -> str | None:
        """Why the balancer accepts no clients; None while it accepts them."""
        ...

    def metrics(self) -> MetricsSnapshot:
        """The metrics now."""
        ...

    def listed(self, name: str) -> bool:
        """Whether the server is in the endpoint list, or ever was."""
        ...

    async def suspend(self, name: str) -> None:
        """Takes a server out of rotation."""
        ...

    async def resume(self, name: str) -> None:
        """Takes a server back into rotation."""
        ...

    async def drain(self) -> None:
        """Sends clients away."""
        ...

    async def activate(self) -> None:
        """Takes clients again."""
        ...

    def coordination_view(self) -> str:
        """What balancers do together, as JSON; empty where that is off."""
        ...


class Route(NamedTuple):
    """A path without parameters: its method, and what answers it."""

    method: str
    handler: Callable[[Operations], Awaitable[HttpResponse]]


async def respond(operations: Operations, method: str, target: bytes) -> HttpResponse:
    """The response to a request, once what it asks for is done."""
    path = target.split(b"?", 1)[0].decode("latin-1")
    if route := ROUTES.get(path):
        if method != route.method:
            return _method_not_allowed(method, route.method)
        return await route.handler(operations)
    return await _respond_for_server(operations, method, path)


async def _respond_for_server(operations: Operations, method: str, path: str) -> HttpResponse:
    # Split before it is decoded: an id may hold a slash of its own, written %2F.
    raw_id, slash, action = path.removeprefix(SERVERS_PATH).rpartition("/")
    if not path.startswith(SERVERS_PATH) or not slash or action not in ("suspend", "resume") or "/" in raw_id:
        return HttpResponse(404, "no such path\n")
    if method != "POST":
        return _method_not_allowed(method, "POST")
    try:
        server = unquote_to_bytes(raw_id).decode()
    except UnicodeDecodeError:
        return HttpResponse(400, "the session server's id is not UTF-8\n")
    if not 0 < len(server) <= MAX_SERVER_ID_LENGTH:
        return HttpResponse(400, f"an id has 1 to {MAX_SERVER_ID_LENGTH} characters\n")
    if not operations.listed(server):
        return HttpResponse(404, "no session server of that id was ever listed\n")
    if action == "suspend":
        return await _outcome(operations.suspend(server), "out of rotation")
    return await _outcome(operations.resume(server), "may serve again")


async def _outcome(call: Awaitable[None], done: str) -> HttpResponse:
    """Carries a call out. The one place that maps its outcome to a status and a text."""
    try:
        await call
    except OperationPendingError as error:
        return HttpResponse(202, error.reason + "\n")
    except OperationRejectedError as error:
        return HttpResponse(503, error.reason + "\n")
    return HttpResponse(200, done + "\n")


def _method_not_allowed(method: str, wanted: str) -> HttpResponse:
    return HttpResponse(405, f"{method} does not go here; {wanted} does\n", allow=wanted)


async def _ready(operations: Operations) -> HttpResponse:
    reason = operations.unready_reason()
    return HttpResponse(503, reason + "\n") if reason else HttpResponse(200, "takes clients\n")


async def _metrics(operations: Operations) -> HttpResponse:
    return HttpResponse(200, operations.metrics().text(), CONTENT_TYPE)


async def _drain(operations: Operations) -> HttpResponse:
    return await _outcome(operations.drain(), "clients are sent away")


async def _activate(operations: Operations) -> HttpResponse:
    return await _outcome(operations.activate(), "takes clients")


async def _coordination(operations: Operations) -> HttpResponse:
    view = operations.coordination_view()
    if not view:
        return HttpResponse(404, "no such path\n")
    return HttpResponse(200, view + "\n", "application/json")


ROUTES = {
    "/v1/readyz": Route("GET", _ready),
    "/v1/metrics": Route("GET", _metrics),
    "/v1/fleet": Route("GET", _coordination),
    "/v1/balancer/drain": Route("POST", _drain),
    "/v1/balancer/activate": Route("POST", _activate),
}
