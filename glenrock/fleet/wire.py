"""Datagrams of the fleet's work, within 256 bytes, beside the summaries on the same socket. Pure.

The first byte tells the kind; a summary begins with its version, 1. Whole numbers big-endian; `decode` takes nothing
that is cut, longer than it says, or of a kind that is not known.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

LONGEST = 256
MARK, WANT, WORD, TAKEN, LOADS, FREE, KNOWN = 0xF1, 0xF2, 0xF3, 0xF4, 0xF5, 0xF6, 0xF7
LONGEST_JOB = 32
HEAD = struct.Struct(">BB")
LARGEST = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class Mark:
    """An owner's, each second: its term, and a digest of all words."""

    job: str
    term: int
    digest: int


@dataclass(frozen=True, slots=True)
class Want:
    """To an owner: what is known up to, by one whose digest differs. `all`: that was not enough before."""

    job: str
    term: int
    upto: tuple[int, int]
    all: bool


@dataclass(frozen=True, slots=True)
class Say:
    """An effect: a word, in the name of a term, with a number that grows with each datagram of that term."""

    job: str
    term: int
    number: int
    revision: tuple[int, int]
    out: bool
    server: str


@dataclass(frozen=True, slots=True)
class Taken:
    """To a sender of `Say` or `Mark`: taken, or refused since a higher term was seen, or for another reason."""

    job: str
    ok: bool
    seen: int
    term: int
    number: int
    revision: tuple[int, int]
    order: int  # of this among all that the receiver's process has judged: its answers go different ways
    server: str


@dataclass(frozen=True, slots=True)
class Loads:
    data: bytes


@dataclass(frozen=True, slots=True)
class Free:
    """A job was given back just now."""

    job: str


@dataclass(frozen=True, slots=True)
class Known:
    """To an owner that says other words than are known here, though it has told all of its own: what is known."""

    job: str
    revision: tuple[int, int]
    out: bool
    server: str


Message = Known | Mark | Want | Say | Taken | Loads | Free
FORMS = {MARK: struct.Struct(">QQ"), WANT: struct.Struct(">QQQB"), WORD: struct.Struct(">QQQQB"),
         TAKEN: struct.Struct(">BQQQQQQ"), FREE: struct.Struct(">"),
         KNOWN: struct.Struct(">QQB")}


def fitted(*numbers: int) -> list[int]:
    return [max(0, min(LARGEST, n)) for n in numbers]


def encode(m: Message) -> bytes | None:
    """None where it is longer than a datagram may be: long names go by the store alone."""
    if isinstance(m, Loads):
        data = bytes([LOADS]) + m.data
    else:
        if isinstance(m, Mark):
            kind, body = MARK, FORMS[MARK].pack(*fitted(m.term, m.digest))
        elif isinstance(m, Want):
            kind, body = WANT, FORMS[WANT].pack(*fitted(m.term, *m.upto), m.all)
        elif isinstance(m, Say):
            kind = WORD
            body = FORMS[WORD].pack(*fitted(m.term, m.number, *m.revision), m.out) + m.server.encode()
        elif isinstance(m, Taken):
            kind = TAKEN
            body = FORMS[TAKEN].pack(m.ok, *fitted(m.seen, m.term, m.number, *m.revision, m.order)) + m.server.encode()
        elif isinstance(m, Known):
            kind, body = KNOWN, FORMS[KNOWN].pack(*fitted(*m.revision), m.out) + m.server.encode()
        else:
            kind, body = FREE, b""
        job = m.job.encode()
        if len(job) > LONGEST_JOB:
            return None
        data = HEAD.pack(kind, len(job)) + job + body
    return data if len(data) <= LONGEST else None


def decode(data: bytes) -> Message | None:
    if not 2 <= len(data) <= LONGEST or not MARK <= data[0] <= KNOWN:
        return None
    kind = data[0]
    if kind == LOADS:
        return Loads(data[1:])
    start = HEAD.size + data[1]
    form = FORMS[kind]
    if len(data) < start + form.size:
        return None
    try:
        job = data[HEAD.size:start].decode()
        values = form.unpack(data[start:start + form.size])
        rest = data[start + form.size:].decode()
    except (struct.error, UnicodeDecodeError):
        return None
    if not job or len(job.encode()) > LONGEST_JOB or (kind in (WORD, TAKEN, KNOWN)) != bool(rest):
        return None
    if kind == MARK:
        return Mark(job, *values)
    if kind == WANT:
        return Want(job, values[0], (values[1], values[2]), bool(values[3]))
    if kind == WORD:
        return Say(job, values[0], values[1], (values[2], values[3]), bool(values[4]), rest)
    if kind == TAKEN:
        return Taken(job, bool(values[0]), values[1], values[2], values[3], (values[4], values[5]), values[6],
                     rest)
    if kind == KNOWN:
        return Known(job, (values[0], values[1]), bool(values[2]), rest)
    return Free(job)
