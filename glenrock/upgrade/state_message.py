"""Messages by which the old process of an upgrade tells the new one what it has been told. Pure.

Each message is one JSON object on a Unix socket. The new process connects, and the old one sends:

    Greeting, ManualDrain, ListBegin, ServerPart (any number), ListEnd, SnapshotEnd

and then, while both processes run, ManualDrain for each change of its drain, ListBegin to ListEnd for each change of
its list, and ServerSends when the old one stops. The new one sends ManualDrain for each change of its own drain.

Times are CLOCK_MONOTONIC in milliseconds, which both processes share, whatever happens to the wall clock.

The two processes may run different releases. A change of a message's meaning needs a new `VERSION`, and a greeting of
another version ends the exchange; a message of an unknown kind is ignored, so that a later release can tell more.
Nothing that a message contains is used before its snapshot is complete.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import isfinite
from typing import Any

from glenrock.routing.interface import EndpointListKind

from ..log import get_logger
from ..net.endpoint_rows import EndpointRow, encode_row, parse_row
from ..net.server_connections import MAX_SERVERS

SOCKET_NAME = "glenrock-state.sock"
VERSION = 1
MAX_MESSAGE_BYTES = 32_768
MAX_ROWS_PER_MESSAGE = 64  # a part takes the event loop well under a millisecond
MAX_LIST_ROWS = MAX_SERVERS  # of a whole list
MAX_SENDS_PER_SERVER = 256  # the latest; a slow start allows a few connections in a window

GREETING = "greeting"
LIST_BEGIN = "list"
ROWS = "rows"
LIST_END = "list_end"
SENDS = "sends"
DRAIN = "drain"
SNAPSHOT_END = "end"
WORD_BY_KIND = {
    EndpointListKind.FULL: "full",
    EndpointListKind.CACHED: "cached",
    EndpointListKind.CHANGES: "changes",
}
KIND_BY_WORD = {word: kind for kind, word in WORD_BY_KIND.items()}

logger = get_logger(__name__)


class StateMessageError(ValueError):
    """The message is none that a predecessor of this balancer would send."""


@dataclass(frozen=True)
class Greeting:
    """The first message.

    Attributes:
        balancer: the configured name of the sender, which both processes share.
    """

    balancer: str


@dataclass(frozen=True)
class ListBegin:
    """The beginning of an endpoint list.

    Attributes:
        kind: `FULL` for a list that discovery has reported, `CACHED` for one that the sender has from its own start,
            `CHANGES` for the servers that have changed.
        version: the version of the list at `discovery`; None if it is unknown.
        discovery: host and port of the discovery that the sender calls.
        answered_ms: when that discovery answered the sender last; None if it has not.
    """

    kind: EndpointListKind
    version: int | None
    discovery: str
    answered_ms: float | None


@dataclass(frozen=True)
class ToldServer:
    """A server as one process of an upgrade knows it.

    Attributes:
        row: its row in the endpoint list; rows of servers that are gone are included.
        started_ms: when it started, as far as the sender has found out; None if discovery has reported no start.
    """

    row: EndpointRow
    started_ms: float | None = None


@dataclass(frozen=True)
class ServerPart:
    """A part of an endpoint list."""

    servers: tuple[ToldServer, ...]


@dataclass(frozen=True)
class ListEnd:
    """The end of an endpoint list, with the number of its rows."""

    row_count: int


@dataclass(frozen=True)
class SnapshotEnd:
    """The end of what the sender knew when the receiver connected."""


@dataclass(frozen=True)
class ServerSend:
    """Load that was sent to a server, in microseconds of work per second, and when."""

    at_ms: float
    load: float


@dataclass(frozen=True)
class ServerSends:
    """What the sender has spent of a server's slow-start budget."""

    name: str
    sends: tuple[ServerSend, ...]


@dataclass(frozen=True)
class ManualDrain:
    """Whether an operator drains the balancer: when the drain began, or None without one."""

    started_ms: float | None


SingleMessage = Greeting | ManualDrain | ListBegin | ListEnd | SnapshotEnd | ServerSends
"""The messages that are encoded one by one; parts of a list are encoded with it."""

StateMessage = SingleMessage | ServerPart


@dataclass(frozen=True)
class ReportedList:
    """An endpoint list, or a change of it, as one process of an upgrade has it; see `ListBegin`."""

    kind: EndpointListKind
    version: int | None
    discovery: str
    answered_ms: float | None
    servers: tuple[ToldServer, ...]


@dataclass(frozen=True)
class StateSnapshot:
    """What a process of an upgrade has been told: by an operator, and by discovery."""

    manual_drain: ManualDrain
    reported: ReportedList


StateChange = ReportedList | ServerSends | ManualDrain
"""What one process tells the other after the snapshot."""


# -- encoding ------------------------------------------------------------------------------------------


def encode(message: SingleMessage) -> bytes:
    """Returns the bytes of a message."""
    return json.dumps(_content_of(message)).encode()


def _content_of(message: SingleMessage) -> dict[str, Any]:
    match message:
        case Greeting(balancer):
            return {"kind": GREETING, "version": VERSION, "balancer": balancer}
        case ListBegin():
            return {
                "kind": LIST_BEGIN,
                "list": WORD_BY_KIND[message.kind],
                "index": message.version,
                "discovery": message.discovery,
                "answered_at": message.answered_ms,
            }
        case ListEnd(row_count):
            return {"kind": LIST_END, "rows": row_count}
        case ManualDrain(started_ms):
            return {"kind": DRAIN, "started_at": started_ms}
        case SnapshotEnd():
            return {"kind": SNAPSHOT_END}
        case ServerSends(name, sends):
            latest = sends[-MAX_SENDS_PER_SERVER:]
            return {"kind": SENDS, "name": name, "sends": [[sent.at_ms, sent.load] for sent in latest]}


def encode_change(change: StateChange) -> Iterator[bytes]:
    """Returns the messages of a change one by one."""
    if isinstance(change, ReportedList):
        return encode_list(change)
    return iter([encode(change)])


def encode_list(reported: ReportedList) -> Iterator[bytes]:
    """Returns the messages of a list one by one, so that the caller can let other tasks run between them."""
    yield encode(ListBegin(reported.kind, reported.version, reported.discovery, reported.answered_ms))
    row_count = 0
    for part in _parts(reported.servers):
        row_count += len(part)
        yield b'{"kind": "%s", "rows": [%s]}' % (ROWS.encode(), b", ".join(part))
    yield encode(ListEnd(row_count))


def _parts(servers: Iterable[ToldServer]) -> Iterator[list[bytes]]:
    """Encodes servers, and groups them into messages within the bounds. One that fits none is logged and left out."""
    part: list[bytes] = []
    part_bytes = 0
    for server in servers:
        data = json.dumps({**encode_row(server.row), "started_at": server.started_ms}).encode()
        if len(data) > MAX_MESSAGE_BYTES // 2:
            logger.warning("endpoint row not told to the successor: too long", server=server.row.name, bytes=len(data))
            continue
        if part and (len(part) >= MAX_ROWS_PER_MESSAGE or part_bytes + len(data) > MAX_MESSAGE_BYTES // 2):
            yield part
            part, part_bytes = [], 0
        part.append(data)
        part_bytes += len(data)
    if part:
        yield part


# -- decoding ------------------------------------------------------------------------------------------


def decode(data: bytes) -> StateMessage | None:
    """Decodes a message. Returns None for one of an unknown kind.

    Raises:
        StateMessageError: the bytes are no message, a value is missing or invalid, or the version is another one.
    """
    try:
        content = json.loads(data)
        return _decode_content(content)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
        if isinstance(error, StateMessageError):
            raise
        raise StateMessageError(f"invalid message: {error!r:.100}") from error


def _decode_content(content: dict[str, Any]) -> StateMessage | None:
    match content["kind"]:
        case "greeting":
            return _decode_greeting(content)
        case "list":
            return ListBegin(
                kind=KIND_BY_WORD[content["list"]],
                version=None if content["index"] is None else _integer(content["index"]),
                discovery=_text(content["discovery"]),
                answered_ms=_optional_ms(content["answered_at"]),
            )
        case "rows":
            return _decode_servers(content["rows"])
        case "list_end":
            return ListEnd(_integer(content["rows"]))
        case "end":
            return SnapshotEnd()
        case "drain":
            return ManualDrain(_optional_ms(content["started_at"]))
        case "sends":
            return _decode_sends(content)
        case _:
            return None


def _decode_greeting(content: dict[str, Any]) -> Greeting:
    if content["version"] != VERSION:
        raise StateMessageError(f"version {content['version']!r:.20}, expected {VERSION}")
    return Greeting(_text(content["balancer"]))


def _decode_servers(rows: list[dict[str, Any]]) -> ServerPart:
    if len(rows) > MAX_ROWS_PER_MESSAGE:
        raise StateMessageError(f"{len(rows)} rows in a message, at most {MAX_ROWS_PER_MESSAGE} are read")
    return ServerPart(tuple(ToldServer(parse_row(row), _optional_ms(row["started_at"])) for row in rows))


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise StateMessageError(f"expected a text, got {value!r:.100}")
    return value


def _decode_sends(content: dict[str, Any]) -> ServerSends:
    sends = content["sends"]
    if len(sends) > MAX_SENDS_PER_SERVER:
        raise StateMessageError(f"{len(sends)} sends of a server, at most {MAX_SENDS_PER_SERVER} are read")
    return ServerSends(_text(content["name"]), tuple(ServerSend(_number(at), _number(load)) for at, load in sends))


def _number(value: Any) -> float:
    if not isinstance(value, int | float) or not isfinite(value):
        raise StateMessageError(f"expected a number, got {value!r:.100}")
    return float(value)


def _optional_ms(value: Any) -> float | None:
    return None if value is None else _number(value)


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise StateMessageError(f"expected an integer, got {value!r:.100}")
    return value
