"""The text of the metrics, and the count of servers out of rotation."""

from __future__ import annotations

import time

from conftest import HarnessFactory
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from glenrock.admin.prometheus_text import MetricsSnapshot
from glenrock.net.metrics import ConnectionOutcome
from glenrock.routing import interface

MAX_COUNT_S = 0.1  # a call is answered within 1 s


@given(st.dictionaries(st.text(max_size=20), st.integers(0, 1 << 40), max_size=4), st.integers(0, 1 << 40))
def test_exposition_text_parses_with_the_prometheus_client(classes: dict[str, int], relayed: int) -> None:
    classes = {name: count for name, count in classes.items() if "\r" not in name}
    outcomes = {ConnectionOutcome.FULFILLED: classes, ConnectionOutcome.THROTTLED: {}}
    text = MetricsSnapshot(outcomes, relayed, 14, 5, 1).text()
    parsed = {
        family.name: {sample.labels.get("priority"): sample.value for sample in family.samples}
        for family in text_string_to_metric_families(text)
    }
    assert parsed["app_fulfilled"] == {name: float(count) for name, count in classes.items()}
    assert parsed["app_relayed"] == {None: float(relayed)}
    assert (parsed["app_open_requests"], parsed["app_registry_entries"], parsed["app_out_of_rotation"]) == (
        {None: 14.0},
        {None: 5.0},
        {None: 1.0},
    )


def test_count_unavailable_is_fast_for_the_largest_endpoint_list(make_harness: HarnessFactory) -> None:
    names = [f"s{number}:1" for number in range(4096)]
    balancer = make_harness(names=names).balancer
    for name in names[::4]:
        balancer.servers[name].is_ready = False
    started_s = time.process_time()
    assert balancer.count_unavailable([*names, "never:1"]) == 1025
    assert time.process_time() - started_s < MAX_COUNT_S


def test_count_unavailable_includes_ejected_and_suspended_servers(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    assert harness.balancer.count_unavailable(harness.balancer.servers) == 0
    harness.balancer.servers["a:1"].ejected_until_us = harness.balancer.batch.now_us + 1
    harness.deliver(interface.OperatorOverride("b:1", True))
    assert harness.balancer.count_unavailable(harness.balancer.servers) == 2
