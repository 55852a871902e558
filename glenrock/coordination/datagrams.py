"""Datagrams of the coordination, within 256 bytes, beside the gossip summaries on the same socket.

Pure. The first byte tells the kind; a gossip summary begins with its version, 1. Whole numbers are big-endian; `decode`
takes nothing that is cut, longer than it says, or of a kind that is not known.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import assert_never

from .shared_work.revision import Revision

MAX_BYTES = 256
MAX_JOB_BYTES = 32
MAX_NUMBER = (1 << 64) - 1
HEADER = struct.Struct(">BB")  # kind, bytes of the job's name

HEARTBEAT, SYNC_REQUEST, OVERRIDE_UPDATE, ACKNOWLEDGEMENT = 0xF1, 0xF2, 0xF3, 0xF4
SHARED_LOADS, JOB_RELEASED, KNOWN_OVERRIDE = 0xF5, 0xF6, 0xF7
FIRST_KIND, LAST_KIND = HEARTBEAT, KNOWN_OVERRIDE
BODIES = {
    HEARTBEAT: struct.Struct(">QQ"),
    SYNC_REQUEST: struct.Struct(">QQQB"),
    OVERRIDE_UPDATE: struct.Struct(">QQQQB"),
    ACKNOWLEDGEMENT: struct.Struct(">BQQQQQQ"),
    JOB_RELEASED: struct.Struct(">"),
    KNOWN_OVERRIDE: struct.Struct(">QQB"),
}
KINDS_WITH_SERVER = frozenset((OVERRIDE_UPDATE, ACKNOWLEDGEMENT, KNOWN_OVERRIDE))


@dataclass(frozen=True, slots=True)
class LeaderHeartbeat:
    """A lease holder's, each second: its term, and a digest of all overrides."""

    job: str
    term: int
    digest: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """To a lease holder: what is known up to, by one whose digest differs. `all`: that was not enough before."""

    job: str
    term: int
    upto: Revision
    all: bool


@dataclass(frozen=True, slots=True)
class OverrideUpdate:
    """An effect: an override, in the name of a term, with a number that grows with each datagram of that term."""

    job: str
    term: int
    sequence: int
    revision: Revision
    is_suspended: bool
    server: str


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """To a sender of `OverrideUpdate` or `LeaderHeartbeat`: taken, or refused since a higher term was seen.

    `verdict_sequence`: of this among all that the receiver's process has judged, since its answers go different ways.
    """

    job: str
    is_accepted: bool
    highest_term: int
    term: int
    sequence: int
    revision: Revision
    verdict_sequence: int
    server: str


@dataclass(frozen=True, slots=True)
class SharedLoads:
    """Loads of servers that one balancer asked for all."""

    data: bytes


@dataclass(frozen=True, slots=True)
class JobReleased:
    """A job's lease was given back just now."""

    job: str


@dataclass(frozen=True, slots=True)
class KnownOverride:
    """To a holder that tells other overrides than are known here, though it has told all of its own."""

    job: str
    revision: Revision
    is_suspended: bool
    server: str


Message = KnownOverride | LeaderHeartbeat | SyncRequest | OverrideUpdate | Acknowledgement | SharedLoads | JobReleased


def _clamp(*numbers: int) -> list[int]:
    return [max(0, min(MAX_NUMBER, number)) for number in numbers]


def encode(message: Message) -> bytes | None:
    """None where it is longer than a datagram may be: long names go by the store alone."""
    if isinstance(message, SharedLoads):
        data = bytes([SHARED_LOADS]) + message.data
        return data if len(data) <= MAX_BYTES else None
    kind, body = _body_of(message)
    job = message.job.encode()
    if len(job) > MAX_JOB_BYTES:
        return None
    data = HEADER.pack(kind, len(job)) + job + body
    return data if len(data) <= MAX_BYTES else None


def _body_of(
    message: KnownOverride | LeaderHeartbeat | SyncRequest | OverrideUpdate | Acknowledgement | JobReleased,
) -> tuple[int, bytes]:
    """The kind, and what stands behind the job's name."""
    match message:
        case LeaderHeartbeat(_, term, digest):
            return HEARTBEAT, BODIES[HEARTBEAT].pack(*_clamp(term, digest))
        case SyncRequest(_, term, upto, every):
            return SYNC_REQUEST, BODIES[SYNC_REQUEST].pack(*_clamp(term, *upto), every)
        case OverrideUpdate(_, term, sequence, revision, is_suspended, server):
            body = BODIES[OVERRIDE_UPDATE].pack(*_clamp(term, sequence, *revision), is_suspended)
            return OVERRIDE_UPDATE, body + server.encode()
        case Acknowledgement(_, is_accepted, highest_term, term, sequence, revision, verdict_sequence, server):
            numbers = _clamp(highest_term, term, sequence, *revision, verdict_sequence)
            return ACKNOWLEDGEMENT, BODIES[ACKNOWLEDGEMENT].pack(is_accepted, *numbers) + server.encode()
        case KnownOverride(_, revision, is_suspended, server):
            return KNOWN_OVERRIDE, BODIES[KNOWN_OVERRIDE].pack(*_clamp(*revision), is_suspended) + server.encode()
        case JobReleased():
            return JOB_RELEASED, b""
    assert_never(message)


def decode(data: bytes) -> Message | None:
    """None for anything that is no datagram of these."""
    if not HEADER.size <= len(data) <= MAX_BYTES or not FIRST_KIND <= data[0] <= LAST_KIND:
        return None
    kind = data[0]
    if kind == SHARED_LOADS:
        return SharedLoads(data[1:])
    body = BODIES[kind]
    body_start = HEADER.size + data[1]
    body_end = body_start + body.size
    if len(data) < body_end:
        return None
    try:
        job = data[HEADER.size : body_start].decode()
        server = data[body_end:].decode()
    except UnicodeDecodeError:
        return None
    if not job or len(job.encode()) > MAX_JOB_BYTES or (kind in KINDS_WITH_SERVER) != bool(server):
        return None
    return _message_of(kind, job, body.unpack(data[body_start:body_end]), server)


def _message_of(kind: int, job: str, values: tuple[int, ...], server: str) -> Message:
    if kind == HEARTBEAT:
        return LeaderHeartbeat(job, *values)
    if kind == SYNC_REQUEST:
        return SyncRequest(job, values[0], Revision(values[1], values[2]), bool(values[3]))
    if kind == OVERRIDE_UPDATE:
        revision = Revision(values[2], values[3])
        return OverrideUpdate(job, values[0], values[1], revision, bool(values[4]), server)
    if kind == ACKNOWLEDGEMENT:
        revision = Revision(values[4], values[5])
        return Acknowledgement(job, bool(values[0]), values[1], values[2], values[3], revision, values[6], server)
    if kind == KNOWN_OVERRIDE:
        return KnownOverride(job, Revision(values[0], values[1]), bool(values[2]), server)
    return JobReleased(job)
