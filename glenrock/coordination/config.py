"""The operator's file: what balancers do together. Read only where a configuration names it.

Keys are the operators': they stay as they are. Times are milliseconds.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct

from .. import toml_file
from ..toml_file import fault

CONSUL_MIN_TTL_MS = 10_000  # of the service: a session's TTL is never shorter unless its own settings allow it
DAY_MS = 86_400_000


class Section(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; keys that are not known are told."""


class StoreSettings(Section, frozen=True):
    """Where leases are kept.

    `sqlite`: balancers of one machine, `path`. `consul`: `addresses`, `prefix`, and a file with a token. `shortest_ms`:
    the least TTL that the service takes.
    """

    kind: Literal["sqlite", "consul"]
    path: str = ""
    addresses: tuple[Annotated[str, Meta(pattern=r"^[^\s:/]+:[0-9]{1,5}$")], ...] = ()
    prefix: Annotated[str, Meta(pattern=r"^[A-Za-z0-9_./-]{1,100}$")] = "glenrock"
    token_file: str = ""
    lock_delay_ms: Annotated[float, Meta(ge=0, le=60_000)] = 0.0
    shortest_ms: Annotated[float, Meta(gt=0)] = CONSUL_MIN_TTL_MS


class LeaseSettings(Section, frozen=True):
    """A term's length, the drift between any two clocks that is allowed for, and the time of a request."""

    lease_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 10_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01
    ask_ms: Annotated[float, Meta(ge=20)] = 2000.0


class JobSettings(Section, frozen=True):
    """`turnstile`: at most so many balancers drained by hand at a time; 0: not counted."""

    bans: bool = True
    turnstile: Annotated[int, Meta(ge=0, le=100)] = 0
    probe_shards: bool = False


class StartSettings(Section, frozen=True):
    """What a start knows from before.

    `keep`: the endpoint list and what was learned of clients are kept in `folder` for the next start. A list older than
    `list_ms` is not used; what was learned counts half after `half_ms`. `spaced`: a balancer whose incarnations end
    within `sound_ms` again and again comes back ever later, `most_wait_ms` at the longest.
    """

    keep: bool = False
    list_ms: Annotated[float, Meta(gt=0, le=7 * DAY_MS)] = 3_600_000.0
    half_ms: Annotated[float, Meta(gt=0, le=7 * DAY_MS)] = 600_000.0
    spaced: bool = False
    sound_ms: Annotated[float, Meta(gt=0, le=3_600_000)] = 10_000.0
    most_wait_ms: Annotated[float, Meta(gt=0, le=3_600_000)] = 20_000.0


class CoordinationFile(Section, frozen=True):
    """The whole file. `folder`: what a balancer must know after its own restart stands there."""

    folder: str
    store: StoreSettings
    lease: LeaseSettings = LeaseSettings()
    jobs: JobSettings = JobSettings()
    start: StartSettings = StartSettings()


def load(path: Path) -> CoordinationFile:
    """Reads the file. Raises InputFileError with file, line and key."""
    raw, text = toml_file.read(path)
    found: CoordinationFile = toml_file.convert(path, text, raw, CoordinationFile)
    store, lease = found.store, found.lease
    is_consul = store.kind == "consul"
    requirements = (
        (bool(found.folder), "folder", "a folder is needed"),
        (is_consul or bool(store.path), "store.path", "a file is needed where kind is sqlite"),
        (
            not is_consul or bool(store.addresses),
            "store.addresses",
            "at least one is needed where kind is consul",
        ),
        (
            not is_consul or lease.lease_ms >= store.shortest_ms,
            "lease.lease_ms",
            f"the service takes no TTL under {store.shortest_ms:g} ms (store.shortest_ms)",
        ),
        (
            lease.ask_ms * 2 <= lease.lease_ms,
            "lease.ask_ms",
            "at most half of lease_ms, or no renewal could be lost",
        ),
    )
    for is_met, key, what in requirements:
        if not is_met:
            raise fault(path, text, key, what)
    return found
