"""The start record's form, and what a start uses of it."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.warm_start.start_record import MAX_BYTES, StartRecord, decode, encode, usable_knowledge
from glenrock.routing import Balancer

from .records import NOW, SETTINGS, TRUST, record, row, table

numbers = st.floats(0, 1e12)


records = st.builds(
    StartRecord,
    numbers,
    st.text(max_size=20),
    st.text(max_size=20),
    st.builds(
        lambda i, names: {"index": i, "snapshot": True, "endpoints": [row(n) for n in names]},
        st.integers(-1, 1 << 53),
        st.lists(st.text(min_size=1, max_size=8), max_size=5),
    ),
    st.dictionaries(st.text(max_size=8), st.tuples(numbers, st.integers(0, 1 << 40)), max_size=4),
)


@given(records)
def test_record_round_trip(written: StartRecord) -> None:
    assert decode(encode(written)) == written


@given(records, st.integers(0, 10_000), st.integers(1, 255))
def test_truncated_or_corrupt_file_raises_value_error_only(written, at: int, change: int) -> None:
    data = encode(written)
    at %= len(data)
    for corrupt in (data[:at], data[:at] + bytes([data[at] ^ change]) + data[at + 1 :]):
        with pytest.raises(ValueError):
            decode(corrupt)


@pytest.mark.parametrize(
    "data,message",
    [
        (b"", "not a file of this kind"),
        (b"x" * (MAX_BYTES + 1), "too large"),
        (encode(record()).replace(b"start 1", b"start 2", 1), "version 2, 1 is known"),
        (encode(record()) + b" ", "the digest is wrong"),
        (encode(record(table={"index": "7", "snapshot": True, "endpoints": []})), "not what it should be"),
        (encode(record(means={"": (float("nan"), 1)})), "not what it should be"),
        (encode(record(means={"": (-1.0, 1)})), "not what it should be"),
    ],
)
def test_unusable_file_raises_with_the_reason(data: bytes, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        decode(data)


def test_record_longer_than_a_start_reads_is_not_written() -> None:
    with pytest.raises(ValueError, match="at most"):
        encode(record(table=table(1, *(f"s{n:060d}" for n in range(30_000)))))


@pytest.mark.parametrize(
    "configured,over,age,names,means",
    [
        ({}, {}, 1000.0, ["s1", "s2"], {"": (3.0, 37)}),
        ({}, {}, 20_000.0, ["s1", "s2"], {"": (3.0, 10)}),
        ({}, {}, 59_000.0, ["s1", "s2"], {"": (3.0, 1)}),
        ({}, {}, 61_000.0, None, {"": (3.0, 1)}),
        ({}, {}, 86_400_000.0, None, {}),
        ({}, {}, -1.0, None, {}),  # the clock went back
        (table(6, "old"), {}, 1000.0, ["s1", "s2"], {"": (3.0, 37)}),
        (table(7, "given"), {}, 1000.0, ["given"], {"": (3.0, 37)}),
        (table(9, "given"), {}, 1000.0, ["given"], {"": (3.0, 37)}),
        (table(6, "given"), {"discovery": "e:1"}, 1000.0, ["given"], {"": (3.0, 37)}),  # another discovery
        ({"index": 9, "endpoints": []}, {}, 1000.0, ["s1", "s2"], {"": (3.0, 37)}),
        ({"index": "x", "endpoints": [1]}, {}, 1000.0, None, {"": (3.0, 37)}),
    ],
)
def test_knowledge_that_a_start_uses(configured, over, age, names, means) -> None:
    knowledge = usable_knowledge(record(**over), configured, NOW + age, "b", "d:1", TRUST)
    assert knowledge.means == means
    if names is None:
        assert knowledge.table == configured
    else:
        assert [row["name"] for row in knowledge.table["endpoints"]] == names
    assert knowledge.summary


def test_servers_of_a_cached_list_count_as_warming_up_after_a_boot() -> None:
    knowledge = usable_knowledge(record(), {}, NOW + 1000, "another", "d:1", TRUST)
    assert [r["since_ms"] for r in knowledge.table["endpoints"]] == [NOW + 1000] * 2 and "cold" in knowledge.summary
    assert [r["since_ms"] for r in record().table["endpoints"]] == [5.0] * 2, "the record is not changed"


def test_restored_loads_weigh_less_the_older_they_are() -> None:
    """Fresh restored loads delay the new mean of a class that became three times as heavy; old ones hardly do."""
    draw, found = random.Random(1), []
    for count in (40, 4):
        balancer = Balancer(SETTINGS, 1)
        balancer.connection_loads.restore(
            {"": (2.0, count), "look": (2.0, count), "gone": (9.0, 9), "write": (0.0, 9)}, ["look", "write"]
        )
        assert balancer.connection_loads.expected("look") == 2.0 and balancer.connection_loads.expected("write") == 2.0
        assert "gone" not in balancer.connection_loads.means
        for _ in range(20):
            balancer.connection_loads.record("look", 6.0 * (0.9 + draw.random() / 5))
        found.append(balancer.connection_loads.expected("look"))
    assert 2.5 < found[0] < 4.0 < found[1] < 6.0
    balancer = Balancer(SETTINGS, 1)
    balancer.connection_loads.record("look", 5.0)
    balancer.connection_loads.restore({"look": (2.0, 9)}, ["look", "write"])
    assert balancer.connection_loads.expected("look") == 5.0, "loads of this process take precedence"
    assert balancer.connection_loads.snapshot() == {"": (5.0, 1), "look": (5.0, 1)}
