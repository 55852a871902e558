"""The log of overrides."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.shared_work.override_log import (
    OverrideEntry,
    OverrideLog,
    decode_entry,
    decode_incarnation_key,
    decode_pending,
    decode_pending_id,
    incarnation_key,
)
from glenrock.coordination.shared_work.revision import Revision

entries = st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.integers(1, 4)), max_size=12, unique=True)


@given(entries, st.randoms())
def test_entries_in_any_order_and_repeated_give_the_same_log(received, draw) -> None:
    one, other = OverrideLog(), OverrideLog()
    for server, term, sequence in received:
        one.merge_entry(server, OverrideEntry(bool(sequence % 2), Revision(term, sequence)))
    again = received + draw.sample(received, len(received) // 2)
    draw.shuffle(again)
    for server, term, sequence in again:
        other.merge_entry(server, OverrideEntry(bool(sequence % 2), Revision(term, sequence)))
    assert one.entries == other.entries and one.digest == other.digest and one.last == other.last
    highest = {s: max((t, n) for x, t, n in received if x == s) for s, _, _ in received}
    assert all(one.is_suspended(s) == bool(revision[1] % 2) for s, revision in highest.items())
    peer = OverrideLog()
    for server, entry in one.entries_after((0, 0)):
        peer.merge_entry(server, entry)
    assert peer.digest == one.digest


def test_pending_override_is_in_effect_until_committed_despite_older_entries() -> None:
    log = OverrideLog()
    log.add_pending("n1/5#1", "s", True)
    assert log.merge_entry("s", OverrideEntry(False, Revision(1, 1))) is None and log.is_suspended("s"), (
        "an older entry changes nothing here"
    )
    log.add_pending("n1/5#2", "s", False)
    assert list(log.pending) == ["n1/5#2"] and not log.is_suspended("s"), "the last pending override counts"
    log.add_pending("n1/5#3", "t", True)
    log.merge_entry("t", OverrideEntry(False, Revision(1, 3)))  # the entry of a later override, without its own entry
    assert log.record_committed("n2/9", 9) == {} and log.record_committed("n1/5", 3) == {"t": False} and not log.pending


@pytest.mark.parametrize(
    "value", ["", "{}", "[]", '{"out": 1}', '{"server": "", "out": true}', '{"server": 5, "out": true}']
)
def test_malformed_entries_and_proposals_decode_to_none(value) -> None:
    proposal = decode_pending(value)
    assert proposal is None and (decode_entry(value, Revision(1, 1)) is None or '"server"' in value)
    assert (
        decode_pending_id("x") == ("", 0)
        and decode_pending_id("a/b#7") == ("a/b", 7)
        and decode_pending_id("a#x")[1] == 0
    )
    assert incarnation_key("a")[0] == "\n" and decode_incarnation_key(incarnation_key("a")) == "a"
    assert decode_incarnation_key("a") is None
