"""Retransmissions of overrides until they are acknowledged."""

from __future__ import annotations

from glenrock.coordination.shared_work.retransmissions import Retransmissions
from glenrock.coordination.shared_work.revision import Revision

END_US = 10_000_000
POLL_US = 10_000


def test_update_is_retransmitted_with_backoff_until_acknowledged() -> None:
    retransmissions = Retransmissions()
    retransmissions.add(3, "s", Revision(1, 2), 0)
    sent_us: list[int] = []
    for now_us in range(0, END_US, POLL_US):
        sent_us += [now_us for _ in retransmissions.start_due_sends(now_us)]
    assert 6 <= len(sent_us) <= 12
    assert sent_us[1] - sent_us[0] <= 100_000
    retransmissions.acknowledge(3, "s", Revision(1, 1))
    assert retransmissions.unacknowledged, "the acknowledgement of an earlier revision does not count"
    retransmissions.acknowledge(3, "s", Revision(1, 2))
    assert not retransmissions.unacknowledged
    assert not retransmissions.start_due_sends(END_US)
