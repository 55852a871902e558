"""Encoding and decoding of the coordination's datagrams."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination import datagrams
from glenrock.coordination.membership import PeerLiveness
from glenrock.coordination.shared_work.health_check_shards import HealthCheckShards
from glenrock.coordination.shared_work.revision import Revision

FIRST_KIND_BYTE = 0xF1
numbers = st.integers(0, datagrams.MAX_UINT64)
revisions = st.builds(Revision, numbers, numbers)
servers = st.text(min_size=1, max_size=60).filter(str.isprintable)
jobs = st.sampled_from(["bans", "j", "x" * datagrams.MAX_JOB_BYTES])
messages: st.SearchStrategy[datagrams.Message] = st.one_of(
    st.builds(datagrams.HolderHeartbeat, jobs, numbers, numbers),
    st.builds(datagrams.LeaseReleased, jobs),
    st.builds(datagrams.KnownOverride, jobs, revisions, st.booleans(), servers),
    st.builds(datagrams.SyncRequest, jobs, numbers, revisions, st.booleans()),
    st.builds(datagrams.OverrideUpdate, jobs, numbers, numbers, revisions, st.booleans(), servers),
    st.builds(datagrams.Acknowledgement, jobs, st.booleans(), numbers, numbers, numbers, revisions, numbers, servers),
)
MESSAGES_WITH_SERVER = (datagrams.OverrideUpdate, datagrams.Acknowledgement, datagrams.KnownOverride)


@given(messages, st.data())
def test_datagram_round_trip_and_truncation_is_rejected_or_shortens_the_server_name(
    message: datagrams.Message, draw: st.DataObject
) -> None:
    encoded = datagrams.encode(message)
    if encoded is None:
        assert isinstance(message, MESSAGES_WITH_SERVER)
        assert len(message.server_id.encode()) > 150
        return
    assert len(encoded) <= datagrams.MAX_BYTES
    assert encoded[0] >= FIRST_KIND_BYTE
    assert datagrams.decode(encoded) == message
    truncated = encoded[: draw.draw(st.integers(0, len(encoded) - 1))]
    decoded = datagrams.decode(truncated)
    if decoded is not None:  # only the end of the server name is missing, which cannot be detected
        assert isinstance(message, MESSAGES_WITH_SERVER)
        assert isinstance(decoded, type(message))
        assert message.server_id.startswith(decoded.server_id)


@given(st.binary(max_size=300))
def test_any_bytes_decode_to_a_message_or_none(data: bytes) -> None:
    datagrams.decode(data)
    datagrams.decode(b"\xf3" + data)
    HealthCheckShards(PeerLiveness(0, range(3), 0)).receive(data, 0)
