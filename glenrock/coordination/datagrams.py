"""The datagrams of the coordination, of at most 256 bytes, on the same socket as the gossip summaries.

Pure. The first byte is the kind. The first byte of a gossip summary is its version, 1, which is below all kinds.
Integers are big-endian. `decode` rejects an unknown kind, and a length that does not fit the kind. The server
name at the end of a datagram has no length field, so a truncated or extended name is not detected.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple, assert_never

from .shared_work.revision import Revision

MAX_BYTES = 256
MAX_JOB_BYTES = 32
MAX_UINT64 = (1 << 64) - 1
HEADER_LAYOUT = struct.Struct(">BB")  # kind, length of the job's name in bytes

HEARTBEAT, SYNC_REQUEST, OVERRIDE_UPDATE, ACKNOWLEDGEMENT = 0xF1, 0xF2, 0xF3, 0xF4
SHARED_LOADS, LEASE_RELEASED, KNOWN_OVERRIDE = 0xF5, 0xF6, 0xF7
FIRST_KIND, LAST_KIND = HEARTBEAT, KNOWN_OVERRIDE
BODY_LAYOUTS = {
    HEARTBEAT: struct.Struct(">QQ"),
    SYNC_REQUEST: struct.Struct(">QQQB"),
    OVERRIDE_UPDATE: struct.Struct(">QQQQB"),
    ACKNOWLEDGEMENT: struct.Struct(">BQQQQQQ"),
    LEASE_RELEASED: struct.Struct(">"),
    KNOWN_OVERRIDE: struct.Struct(">QQB"),
}
KINDS_WITH_SERVER = frozenset((OVERRIDE_UPDATE, ACKNOWLEDGEMENT, KNOWN_OVERRIDE))


@dataclass(frozen=True, slots=True)
class HolderHeartbeat:
    """Sent by a lease holder each second, with its term and the digest of its override log."""

    job: str
    term: int
    digest: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Requests missing overrides from a lease holder, after a heartbeat with a different digest.

    Attributes:
        job: the job.
        term: the term of the heartbeat.
        up_to: the highest revision known to the sender; the holder sends the overrides after it.
        wants_all: whether the holder must send all overrides, since the digests still differ after those after `up_to`
            were sent.
    """

    job: str
    term: int
    up_to: Revision
    wants_all: bool


@dataclass(frozen=True, slots=True)
class OverrideUpdate:
    """Sent by a lease holder: a committed override.

    Attributes:
        job: the job.
        term: the holder's term.
        sequence: number of this datagram, which increases within the term.
        revision: the revision of the override.
        is_suspended: whether the server is suspended.
        server_id: the server.
    """

    job: str
    term: int
    sequence: int
    revision: Revision
    is_suspended: bool
    server_id: str


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Answers an `OverrideUpdate`, or rejects a `HolderHeartbeat`.

    Attributes:
        job: the job.
        is_accepted: whether the receiver's fence accepted it.
        highest_term: the highest term that the receiver has seen.
        term: the term of the update or heartbeat.
        sequence: the sequence number of the update; 0 for a heartbeat.
        revision: the revision of the update; `NO_REVISION` for a heartbeat.
        verdict_sequence: number of this verdict among those of the receiver's process. It tells the order of verdicts
            whose acknowledgements were reordered.
        server_id: the server of the update; a placeholder for a heartbeat, since it must not be empty.
    """

    job: str
    is_accepted: bool
    highest_term: int
    term: int
    sequence: int
    revision: Revision
    verdict_sequence: int
    server_id: str


@dataclass(frozen=True, slots=True)
class SharedLoads:
    """Loads from the sender's health checks, as `HealthCheckShards.pop_datagrams` encodes them."""

    data: bytes


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """Announces that the sender has released the lease of a job."""

    job: str


@dataclass(frozen=True, slots=True)
class KnownOverride:
    """Sent to a lease holder whose digest still differs after a sync: an override that the holder may lack."""

    job: str
    revision: Revision
    is_suspended: bool
    server_id: str


Message = KnownOverride | HolderHeartbeat | SyncRequest | OverrideUpdate | Acknowledgement | SharedLoads | LeaseReleased


def _clamp_to_uint64(*numbers: int) -> list[int]:
    """Returns the numbers, each clamped to the range of an unsigned 64-bit integer."""
    return [max(0, min(MAX_UINT64, number)) for number in numbers]


def encode(message: Message) -> bytes | None:
    """Returns the datagram; None if it would be longer than MAX_BYTES, or the job's name than MAX_JOB_BYTES."""
    if isinstance(message, SharedLoads):
        data = bytes([SHARED_LOADS]) + message.data
        return data if len(data) <= MAX_BYTES else None
    job = message.job.encode()
    if len(job) > MAX_JOB_BYTES:
        return None
    body = _encode_body(message)
    data = HEADER_LAYOUT.pack(body.kind, len(job)) + job + body.data
    return data if len(data) <= MAX_BYTES else None


class _Body(NamedTuple):
    """A datagram's kind, and its bytes after the job's name."""

    kind: int
    data: bytes


def _encode_body(
    message: KnownOverride | HolderHeartbeat | SyncRequest | OverrideUpdate | Acknowledgement | LeaseReleased,
) -> _Body:
    match message:
        case HolderHeartbeat(_, term, digest):
            return _Body(HEARTBEAT, BODY_LAYOUTS[HEARTBEAT].pack(*_clamp_to_uint64(term, digest)))
        case SyncRequest(_, term, up_to, wants_all):
            return _Body(SYNC_REQUEST, BODY_LAYOUTS[SYNC_REQUEST].pack(*_clamp_to_uint64(term, *up_to), wants_all))
        case OverrideUpdate(_, term, sequence, revision, is_suspended, server_id):
            data = BODY_LAYOUTS[OVERRIDE_UPDATE].pack(*_clamp_to_uint64(term, sequence, *revision), is_suspended)
            return _Body(OVERRIDE_UPDATE, data + server_id.encode())
        case Acknowledgement(_, is_accepted, highest_term, term, sequence, revision, verdict_sequence, server_id):
            numbers = _clamp_to_uint64(highest_term, term, sequence, *revision, verdict_sequence)
            data = BODY_LAYOUTS[ACKNOWLEDGEMENT].pack(is_accepted, *numbers)
            return _Body(ACKNOWLEDGEMENT, data + server_id.encode())
        case KnownOverride(_, revision, is_suspended, server_id):
            data = BODY_LAYOUTS[KNOWN_OVERRIDE].pack(*_clamp_to_uint64(*revision), is_suspended)
            return _Body(KNOWN_OVERRIDE, data + server_id.encode())
        case LeaseReleased():
            return _Body(LEASE_RELEASED, b"")
    assert_never(message)


def decode(data: bytes) -> Message | None:
    """Returns the message; None if the data are not a valid datagram."""
    if not HEADER_LAYOUT.size <= len(data) <= MAX_BYTES or not FIRST_KIND <= data[0] <= LAST_KIND:
        return None
    kind = data[0]
    if kind == SHARED_LOADS:
        return SharedLoads(data[1:])
    body = BODY_LAYOUTS[kind]
    body_start = HEADER_LAYOUT.size + data[1]
    body_end = body_start + body.size
    if len(data) < body_end:
        return None
    try:
        job = data[HEADER_LAYOUT.size : body_start].decode()
        server_id = data[body_end:].decode()
    except UnicodeDecodeError:
        return None
    if not job or len(job.encode()) > MAX_JOB_BYTES or (kind in KINDS_WITH_SERVER) != bool(server_id):
        return None
    return _build_message(kind, job, body.unpack(data[body_start:body_end]), server_id)


def _build_message(kind: int, job: str, values: tuple[int, ...], server_id: str) -> Message:
    """Builds the message of a kind from the unpacked values of its body."""
    if kind == HEARTBEAT:
        return HolderHeartbeat(job, *values)
    if kind == SYNC_REQUEST:
        term, up_to_term, up_to_sequence, wants_all = values
        return SyncRequest(job, term, Revision(up_to_term, up_to_sequence), bool(wants_all))
    if kind == OVERRIDE_UPDATE:
        term, sequence, *revision, is_suspended = values
        return OverrideUpdate(job, term, sequence, Revision(*revision), bool(is_suspended), server_id)
    if kind == ACKNOWLEDGEMENT:
        is_accepted, highest_term, term, sequence, *revision, verdict_sequence = values
        return Acknowledgement(
            job, bool(is_accepted), highest_term, term, sequence, Revision(*revision), verdict_sequence, server_id
        )
    if kind == KNOWN_OVERRIDE:
        *revision, is_suspended = values
        return KnownOverride(job, Revision(*revision), bool(is_suspended), server_id)
    return LeaseReleased(job)
