"""Datagrams of the coordination."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination import datagrams
from glenrock.coordination.membership import PeerLiveness
from glenrock.coordination.shared_work.health_check_shards import HealthCheckShards

number = st.integers(0, datagrams.MAX_NUMBER)


server = st.text(min_size=1, max_size=60).filter(lambda s: s.isprintable())


job = st.sampled_from(["bans", "j", "x" * datagrams.MAX_JOB_BYTES])


messages = st.one_of(
    st.builds(datagrams.LeaderHeartbeat, job, number, number),
    st.builds(datagrams.JobReleased, job),
    st.builds(datagrams.KnownOverride, job, st.tuples(number, number), st.booleans(), server),
    st.builds(datagrams.SyncRequest, job, number, st.tuples(number, number), st.booleans()),
    st.builds(datagrams.OverrideUpdate, job, number, number, st.tuples(number, number), st.booleans(), server),
    st.builds(
        datagrams.Acknowledgement, job, st.booleans(), number, number, number, st.tuples(number, number), number, server
    ),
)


@given(messages, st.data())
def test_datagram_round_trip_and_truncated_datagrams_are_rejected(message, data) -> None:
    encoded = datagrams.encode(message)
    if encoded is None:
        assert (
            isinstance(message, datagrams.OverrideUpdate | datagrams.Acknowledgement | datagrams.KnownOverride)
            and len(message.server.encode()) > 150
        )
        return
    assert len(encoded) <= datagrams.MAX_BYTES and encoded[0] >= 0xF1 and datagrams.decode(encoded) == message
    truncated = encoded[: data.draw(st.integers(0, len(encoded) - 1))]
    found = datagrams.decode(truncated)
    assert (
        found is None
        or isinstance(message, datagrams.OverrideUpdate | datagrams.Acknowledgement | datagrams.KnownOverride)
        and isinstance(found, type(message))
        and (message.server.startswith(found.server))
    )


@given(st.binary(max_size=300))
def test_any_bytes_decode_to_a_message_or_none(data) -> None:
    datagrams.decode(data)
    datagrams.decode(b"\xf3" + data)
    HealthCheckShards(PeerLiveness(0, range(3), 0)).receive(data, 0)
