"""The coordination file of operators (`fleet.toml`). Times are in milliseconds.

The attributes of the sections are the keys of the file, so their names must not change.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from .. import toml_file
from ..toml_file import input_error

CONSUL_MIN_TTL_MS = 10_000  # Consul's lower bound on a session's TTL, unless Consul's configuration lowers it
DAY_MS = 86_400_000


class StoreKind(StrEnum):
    """The kind of the lease store: SQLITE for balancers on one machine, CONSUL for several machines."""

    SQLITE = "sqlite"
    CONSUL = "consul"


class Section(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file. A key that it does not declare is an error."""


class StoreSettings(Section, frozen=True):
    """The lease store.

    Attributes:
        kind: the kind of the store.
        path: path of the SQLite file.
        addresses: `host:port` of Consul's servers or agents.
        prefix: prefix of the keys in Consul.
        token_file: path of a file with the token for Consul; empty if Consul requires none.
        lock_delay_ms: time from the expiry of a lease until another holder may acquire it.
        shortest_ms: the shortest TTL of a session that Consul accepts.
    """

    kind: StoreKind
    path: str = ""
    addresses: tuple[Annotated[str, Meta(pattern=r"^[^\s:/]+:[0-9]{1,5}$")], ...] = ()
    prefix: Annotated[str, Meta(pattern=r"^[A-Za-z0-9_./-]{1,100}$")] = "glenrock"
    token_file: str = ""
    lock_delay_ms: Annotated[float, Meta(ge=0, le=60_000)] = 0.0
    shortest_ms: Annotated[float, Meta(gt=0)] = CONSUL_MIN_TTL_MS


class LeaseSettings(Section, frozen=True):
    """Durations of a lease.

    Attributes:
        lease_ms: duration of a lease.
        drift: bound on the drift between the store's clock and a balancer's, as a fraction.
        ask_ms: timeout of a request to the store.
    """

    lease_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 10_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01
    ask_ms: Annotated[float, Meta(ge=20)] = 2000.0


class JobSettings(Section, frozen=True):
    """The work that balancers coordinate.

    Attributes:
        bans: whether operators' overrides are replicated to all balancers.
        turnstile: how many balancers may drain at a time on operators' calls; 0 for no limit.
        probe_shards: whether health checks are divided among the balancers.
    """

    bans: bool = True
    turnstile: Annotated[int, Meta(ge=0, le=100)] = 0
    probe_shards: bool = False


class StartSettings(Section, frozen=True):
    """What a starting balancer uses from its earlier incarnations.

    Attributes:
        keep: whether the endpoint list and the learned loads are cached on disk for the next start.
        list_ms: maximum age of a cached endpoint list; an older one is not used.
        half_ms: age at which the weight of cached loads has fallen to one half.
        spaced: whether a start is delayed after repeated crashes.
        sound_ms: time after which an incarnation is no longer counted as one that crashed at its start.
        most_wait_ms: maximum delay of a start.
    """

    keep: bool = False
    list_ms: Annotated[float, Meta(gt=0, le=7 * DAY_MS)] = 3_600_000.0
    half_ms: Annotated[float, Meta(gt=0, le=7 * DAY_MS)] = 600_000.0
    spaced: bool = False
    sound_ms: Annotated[float, Meta(gt=0, le=3_600_000)] = 10_000.0
    most_wait_ms: Annotated[float, Meta(gt=0, le=3_600_000)] = 20_000.0


class CoordinationFile(Section, frozen=True):
    """The whole file.

    Attributes:
        folder: path of the folder in which each balancer stores the state that must survive a restart.
        store: the lease store.
        lease: durations of a lease.
        jobs: the work that balancers coordinate.
        start: what a start uses from earlier incarnations.
    """

    folder: str
    store: StoreSettings
    lease: LeaseSettings = LeaseSettings()
    jobs: JobSettings = JobSettings()
    start: StartSettings = StartSettings()


class _Requirement(NamedTuple):
    """A condition on one or several keys, and the key and message that are reported if it is not met."""

    is_met: bool
    key: str
    message: str


def load(path: Path) -> CoordinationFile:
    """Reads and checks the file. Raises InputFileError, which states the file, line and key at fault."""
    raw, text = toml_file.read(path)
    file: CoordinationFile = toml_file.convert(path, text, raw, CoordinationFile)
    for requirement in _requirements(file):
        if not requirement.is_met:
            raise input_error(path, text, requirement.key, requirement.message)
    return file


def _requirements(file: CoordinationFile) -> list[_Requirement]:
    store, lease = file.store, file.lease
    is_consul = store.kind is StoreKind.CONSUL
    return [
        _Requirement(bool(file.folder), "folder", "must not be empty"),
        _Requirement(is_consul or bool(store.path), "store.path", 'required if store.kind is "sqlite"'),
        _Requirement(
            not is_consul or bool(store.addresses),
            "store.addresses",
            'at least one is required if store.kind is "consul"',
        ),
        _Requirement(
            not is_consul or lease.lease_ms >= store.shortest_ms,
            "lease.lease_ms",
            f"Consul accepts no TTL under {store.shortest_ms:g} ms (store.shortest_ms)",
        ),
        _Requirement(
            lease.ask_ms * 2 <= lease.lease_ms,
            "lease.ask_ms",
            "at most half of lease_ms, so that a lease survives one renewal that is lost",
        ),
    ]
