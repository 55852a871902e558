"""Retransmissions of overrides."""

from __future__ import annotations

from glenrock.coordination.shared_work.retransmissions import Retransmissions
from glenrock.coordination.shared_work.revision import Revision

SECOND_US = 1_000_000


def test_update_is_retransmitted_with_backoff_until_acknowledged() -> None:
    retransmissions, now, sent = Retransmissions(), 0, []
    retransmissions.add(3, "s", Revision(1, 2), now)
    while now < 10 * SECOND_US:
        sent += [now for _ in retransmissions.start_due_sends(now)]
        now += 10_000
    assert 6 <= len(sent) <= 12 and sent[1] - sent[0] <= 100_000
    retransmissions.acknowledge(3, "s", Revision(1, 1))
    assert retransmissions.unacknowledged, "the acknowledgement of an earlier revision does not count"
    retransmissions.acknowledge(3, "s", Revision(1, 2))
    assert not retransmissions.unacknowledged and not retransmissions.start_due_sends(now)
