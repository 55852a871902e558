"""The operators' address without its sockets: calls at every cut, paths, and the text of the figures."""

from __future__ import annotations

import asyncio
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from glenrock.admin.http_message import MAX_REQUEST_BYTES, HttpRequest, HttpResponse
from glenrock.admin.prometheus_text import MetricsSnapshot
from glenrock.admin.routes import respond
from glenrock.operation_errors import OperationError, OperationPendingError, OperationRejectedError
from glenrock.routing import interface

CALL = b"POST /v1/session-servers/s-1/suspend HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nwhy?"


class Asked:
    """Operations that keep what was asked, and know one session server."""

    def __init__(self, reason: str | None = None, error: type[OperationError] = OperationRejectedError) -> None:
        self.reason, self.error, self.calls = reason, error, []

    def unready_reason(self) -> str | None:
        return self.reason

    def metrics(self) -> MetricsSnapshot:
        return MetricsSnapshot({"fulfilled": {"look": 3}}, 4, 1, 2, 0)

    def is_known_server(self, server_id: str) -> bool:
        return server_id == "s/1 é"

    async def suspend(self, name: str) -> None:
        self._record(("out", name))

    async def resume(self, name: str) -> None:
        self._record(("back", name))

    async def drain(self) -> None:
        self._record("drain")

    async def activate(self) -> None:
        self._record("activate")

    def _record(self, call: object) -> None:
        self.calls.append(call)
        if self.reason:
            raise self.error(self.reason)

    def coordination_view(self) -> str | None:
        return None


def call(ops: Asked, method: str, target: str) -> HttpResponse:
    return asyncio.run(respond(ops, method, target.encode()))


@pytest.mark.parametrize("cut", range(1, len(CALL)))
def test_a_call_cut_anywhere_is_the_same_call(cut: int) -> None:
    whole, parts = HttpRequest(), HttpRequest()
    assert whole.feed(CALL) is None and parts.feed(CALL[:cut]) is None
    assert whole.is_complete and not parts.is_complete
    assert parts.feed(CALL[cut:]) is None and parts.is_complete
    assert (parts.method, parts.target) == (whole.method, whole.target) == ("POST", b"/v1/session-servers/s-1/suspend")


@pytest.mark.parametrize(
    "data,status",
    [
        (b"OPEN 9b 7f c=chat\r\n", 400),
        (b"\x16\x03\x01\r\n\r\n", 400),
        (b"GET /" + b"a" * 2000, 414),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * (MAX_REQUEST_BYTES // 6), 413),
    ],
)
def test_what_cannot_be_a_call_is_told_so(data: bytes, status: int) -> None:
    found = HttpRequest().feed(data)
    assert found and found.status == status and found.text.count("\n") == 1


def test_a_second_call_on_the_connection_changes_nothing() -> None:
    c = HttpRequest()
    assert c.feed(b"GET /v1/readyz HTTP/1.1\r\n\r\nPOST /v1/balancer/drain HTTP/1.1\r\n\r\n") is None
    assert (c.method, c.target, c.is_complete) == ("GET", b"/v1/readyz", True)


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
def test_each_path_has_its_method_and_answer(method: str, target: str, status: int) -> None:
    found = call(Asked(), method, target)
    assert found.status == status
    assert (
        found.encode().endswith(found.text.encode())
        and f"Content-Length: {len(found.text.encode())}\r\n".encode() in found.encode()
    )


def test_a_refused_call_says_why_in_one_line() -> None:
    ops = Asked("not ready: clients are sent away")
    for method, target in (
        ("GET", "/v1/readyz"),
        ("POST", "/v1/balancer/drain"),
        ("POST", "/v1/session-servers/s%2F1%20%C3%A9/resume"),
    ):
        found = call(ops, method, target)
        assert (found.status, found.text) == (503, "not ready: clients are sent away\n")
    assert ops.calls == ["drain", ("back", "s/1 é")]


@pytest.mark.parametrize("action", ["suspend", "resume"])
def test_pending_operation_is_answered_202_with_its_reason(action: str) -> None:
    found = call(Asked("stored here", OperationPendingError), "POST", f"/v1/session-servers/s%2F1%20%C3%A9/{action}")
    assert (found.status, found.text) == (202, "stored here\n")


@given(st.dictionaries(st.text(max_size=20), st.integers(0, 1 << 40), max_size=4), st.integers(0, 1 << 40))
def test_the_text_is_what_a_scraper_reads(classes: dict[str, int], relayed: int) -> None:
    classes = {name: count for name, count in classes.items() if "\r" not in name}
    text = MetricsSnapshot({"fulfilled": classes, "throttled": {}}, relayed, 14, 5, 1).text()
    read = {
        f.name: {s.labels.get("priority"): s.value for s in f.samples} for f in text_string_to_metric_families(text)
    }
    assert read["app_fulfilled"] == {name: float(count) for name, count in classes.items()}
    assert read["app_relayed"] == {None: float(relayed)}
    assert (read["app_open_requests"], read["app_registry_entries"], read["app_out_of_rotation"]) == (
        {None: 14.0},
        {None: 5.0},
        {None: 1.0},
    )


def test_reading_the_largest_list_is_cheap(make) -> None:
    names = [f"s{n}:1" for n in range(4096)]
    b = make(names=names).b
    for n in range(0, 4096, 4):
        b.servers[names[n]].ready = False
    began = time.process_time()
    assert b.count_avoided([*names, "never:1"]) == 1025
    assert time.process_time() - began < 0.1  # 2 to 4 ms as measured; an answer is due within 1 s


def test_what_is_avoided_by_choice_counts_too(make) -> None:
    h = make()
    assert h.b.count_avoided(h.b.servers) == 0
    h.b.servers["a:1"].ejected_until_us = h.b.batch.now_us + 1
    h.give(interface.OperatorOverride("b:1", True))
    assert h.b.count_avoided(h.b.servers) == 2
