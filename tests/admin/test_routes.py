"""Statuses and bodies of operators' calls, without sockets."""

from __future__ import annotations

import asyncio

import pytest

from glenrock.admin.http_message import HttpResponse
from glenrock.admin.routes import respond
from glenrock.operation_errors import OperationPendingError

from .recording_operations import KNOWN_SERVER, RecordingOperations


def call(operations: RecordingOperations, method: str, target: str) -> HttpResponse:
    return asyncio.run(respond(operations, method, target.encode()))


@pytest.mark.parametrize(
    "method,target,status",
    [
        ("GET", "/v1/readyz", 200),
        ("GET", "/v1/readyz?x=1", 200),
        ("POST", "/v1/readyz", 405),
        ("GET", "/", 404),
        ("GET", "/v1/balancer/drain", 405),
        ("POST", "/v1/balancer/drain", 200),
        ("POST", "/v1/balancer/other", 404),
        ("POST", "/v1/session-servers/s%2F1%20%C3%A9/suspend", 200),
        ("GET", "/v1/session-servers/x/suspend", 405),
        ("POST", "/v1/session-servers/x/suspend", 404),
        ("POST", "/v1/session-servers/%FF/resume", 400),
        ("POST", "/v1/session-servers//resume", 400),
        ("POST", "/v1/session-servers/a/b/resume", 404),
        ("POST", "/v1/session-servers/" + "a" * 300 + "/resume", 400),
        ("POST", "/v1/session-servers/resume", 404),
    ],
)
def test_status_by_method_and_path(method: str, target: str, status: int) -> None:
    response = call(RecordingOperations(), method, target)
    assert response.status == status
    data, body = response.encode(), response.text.encode()
    assert data.endswith(body) and f"Content-Length: {len(body)}\r\n".encode() in data


def test_rejected_operation_is_answered_503_with_its_reason() -> None:
    operations = RecordingOperations("not ready: draining")
    for method, target in (
        ("GET", "/v1/readyz"),
        ("POST", "/v1/balancer/drain"),
        ("POST", "/v1/session-servers/s%2F1%20%C3%A9/resume"),
    ):
        response = call(operations, method, target)
        assert (response.status, response.text) == (503, "not ready: draining\n")
    assert operations.calls == ["drain", f"resume {KNOWN_SERVER}"]


@pytest.mark.parametrize("action", ["suspend", "resume"])
def test_pending_operation_is_answered_202_with_its_reason(action: str) -> None:
    operations = RecordingOperations("stored here", OperationPendingError)
    response = call(operations, "POST", f"/v1/session-servers/s%2F1%20%C3%A9/{action}")
    assert (response.status, response.text) == (202, "stored here\n")
