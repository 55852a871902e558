"""Maps the method and path of an operator's call to an operation, and its outcome to a response.

Does no I/O and keeps no state.
"""

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
    """The operations behind the calls.

    An asynchronous operation returns once this balancer has carried it out, and otherwise raises
    `OperationRejectedError` or `OperationPendingError`. Where balancers share overrides, `suspend` and `resume` return
    once the override is committed for all of them; if this balancer could not apply it, it logs `override not applied`.
    """

    def unready_reason(self) -> str | None:
        """Returns why front ends should send no new clients to this balancer; None if they may."""
        ...

    def metrics(self) -> MetricsSnapshot:
        """Returns the metrics at this moment."""
        ...

    def is_known_server(self, server_id: str) -> bool:
        """Returns whether the server is in the endpoint list, or ever was."""
        ...

    async def suspend(self, server_id: str) -> None:
        """Takes a server out of rotation."""
        ...

    async def resume(self, server_id: str) -> None:
        """Takes a server back into rotation."""
        ...

    async def drain(self) -> None:
        """Starts to migrate all clients."""
        ...

    async def activate(self) -> None:
        """Ends the drain."""
        ...

    def coordination_view(self) -> str | None:
        """Returns the state of coordination as JSON; None if it is not configured."""
        ...


class Route(NamedTuple):
    """The only method that a path without parameters allows, and its handler."""

    method: str
    handler: Callable[[Operations], Awaitable[HttpResponse]]


async def respond(operations: Operations, method: str, target: bytes) -> HttpResponse:
    """Carries out a call, and returns its response."""
    path = target.split(b"?", 1)[0].decode("latin-1")
    if route := ROUTES.get(path):
        if method != route.method:
            return _method_not_allowed(method, route.method)
        return await route.handler(operations)
    return await _respond_to_server_call(operations, method, path)


async def _respond_to_server_call(operations: Operations, method: str, path: str) -> HttpResponse:
    # Split before decoding: a server id may contain a slash, sent as %2F.
    raw_id, slash, action = path.removeprefix(SERVERS_PATH).rpartition("/")
    if not path.startswith(SERVERS_PATH) or not slash or action not in ("suspend", "resume") or "/" in raw_id:
        return HttpResponse(404, "no such path\n")
    if method != "POST":
        return _method_not_allowed(method, "POST")
    try:
        server_id = unquote_to_bytes(raw_id).decode()
    except UnicodeDecodeError:
        return HttpResponse(400, "the session server's id is not UTF-8\n")
    if not 0 < len(server_id) <= MAX_SERVER_ID_LENGTH:
        return HttpResponse(400, f"an id has 1 to {MAX_SERVER_ID_LENGTH} characters\n")
    if not operations.is_known_server(server_id):
        return HttpResponse(404, "no session server of that id was ever listed\n")
    if action == "suspend":
        return await _respond_to_operation(operations.suspend(server_id), "suspended")
    return await _respond_to_operation(operations.resume(server_id), "resumed")


async def _respond_to_operation(operation: Awaitable[None], success_text: str) -> HttpResponse:
    """Awaits an operation. The only place that maps its outcome to a status and a text."""
    try:
        await operation
    except OperationPendingError as error:
        return HttpResponse(202, error.reason + "\n")
    except OperationRejectedError as error:
        return HttpResponse(503, error.reason + "\n")
    return HttpResponse(200, success_text + "\n")


def _method_not_allowed(method: str, allowed: str) -> HttpResponse:
    return HttpResponse(405, f"method {method} is not allowed here; use {allowed}\n", allow=allowed)


async def _ready(operations: Operations) -> HttpResponse:
    reason = operations.unready_reason()
    return HttpResponse(200, "ready\n") if reason is None else HttpResponse(503, reason + "\n")


async def _metrics(operations: Operations) -> HttpResponse:
    return HttpResponse(200, operations.metrics().text(), CONTENT_TYPE)


async def _drain(operations: Operations) -> HttpResponse:
    return await _respond_to_operation(operations.drain(), "draining")


async def _activate(operations: Operations) -> HttpResponse:
    return await _respond_to_operation(operations.activate(), "ready")


async def _coordination(operations: Operations) -> HttpResponse:
    view = operations.coordination_view()
    if view is None:
        return HttpResponse(404, "no such path\n")
    return HttpResponse(200, view + "\n", "application/json")


ROUTES = {
    "/v1/readyz": Route("GET", _ready),
    "/v1/metrics": Route("GET", _metrics),
    "/v1/fleet": Route("GET", _coordination),
    "/v1/balancer/drain": Route("POST", _drain),
    "/v1/balancer/activate": Route("POST", _activate),
}
