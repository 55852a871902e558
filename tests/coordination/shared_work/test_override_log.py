"""The override log, and the stored form of its entries."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.shared_work.override_log import (
    OverrideChange,
    OverrideEntry,
    OverrideLog,
    ServerEntry,
    decode_entry,
    decode_incarnation_key,
    decode_pending,
    decode_pending_id,
    incarnation_key,
)
from glenrock.coordination.shared_work.revision import NO_REVISION, Revision

revisions = st.builds(Revision, st.integers(1, 3), st.integers(1, 4))


def entry_of(revision: Revision) -> OverrideEntry:
    """Returns the entry of a revision; entries of the same revision are always equal."""
    return OverrideEntry(bool(revision.sequence % 2), revision)


server_entries = st.builds(ServerEntry, st.sampled_from("abc"), st.builds(entry_of, revisions))


def merge_all(entries: list[ServerEntry]) -> OverrideLog:
    """Returns a log into which the entries were merged in this order."""
    log = OverrideLog()
    for server_id, entry in entries:
        log.merge_entry(server_id, entry)
    return log


@given(st.lists(server_entries, max_size=12, unique=True), st.randoms())
def test_entries_in_any_order_and_repeated_give_the_same_log(received: list[ServerEntry], draw: random.Random) -> None:
    repeated = received + draw.sample(received, len(received) // 2)
    draw.shuffle(repeated)
    log, other = merge_all(received), merge_all(repeated)
    assert (log.entries, log.digest, log.highest_revision) == (other.entries, other.digest, other.highest_revision)
    for server_id in {item.server_id for item in received}:
        newest = max(item.entry.revision for item in received if item.server_id == server_id)
        assert log.is_suspended(server_id) == entry_of(newest).is_suspended
    peer = merge_all(log.entries_after(NO_REVISION))
    assert peer.digest == log.digest


def test_pending_override_is_in_effect_until_committed_despite_older_entries() -> None:
    log = OverrideLog()
    log.add_pending("n1/5#1", "s", True)
    assert log.merge_entry("s", OverrideEntry(False, Revision(1, 1))) is None
    assert log.is_suspended("s"), "a committed entry does not change the effect of a pending override"
    log.add_pending("n1/5#2", "s", False)
    assert list(log.pending) == ["n1/5#2"]
    assert not log.is_suspended("s"), "the last pending override of a server counts"
    log.add_pending("n1/5#3", "t", True)
    log.merge_entry("t", OverrideEntry(False, Revision(1, 3)))  # a later override superseded the entry of n1/5#3
    assert log.record_committed("n2/9", 9) == []
    assert log.record_committed("n1/5", 3) == [OverrideChange("t", False)]
    assert not log.pending


@pytest.mark.parametrize(
    "value", ["", "{}", "[]", '{"out": 1}', '{"server": "", "out": true}', '{"server": 5, "out": true}']
)
def test_malformed_proposal_decodes_to_none(value: str) -> None:
    assert decode_pending(value) is None


@pytest.mark.parametrize("value", ["", "{}", "[]", '{"out": 1}'])
def test_malformed_entry_decodes_to_none(value: str) -> None:
    assert decode_entry(value, Revision(1, 1)) is None


@pytest.mark.parametrize("pending_id, expected", [("x", ("", 0)), ("a/b#7", ("a/b", 7)), ("a#x", ("a", 0))])
def test_identifier_of_a_pending_override_is_decoded(pending_id: str, expected: tuple[str, int]) -> None:
    assert decode_pending_id(pending_id) == expected


def test_key_of_an_incarnation_is_not_a_server_name() -> None:
    key = incarnation_key("a")
    assert key[0] == "\n"
    assert decode_incarnation_key(key) == "a"
    assert decode_incarnation_key("a") is None
