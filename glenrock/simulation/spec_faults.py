"""The kinds of fault in an experiment file. The module `faults` injects them."""

from __future__ import annotations

import re
from typing import Annotated

from msgspec import Meta

from .spec_types import FractionOrRange, NonNegativeOrRange, PositiveOrRange, StrictTable


def fault_kind_name(type_name: str) -> str:
    """Returns the name of a kind of fault in a file, such as `zone_cut` for `ZoneCut`."""
    return re.sub(r"(?<=.)([A-Z])", r"_\1", type_name).lower()


class Fault(StrictTable, frozen=True, tag_field="kind", tag=fault_kind_name):
    """A fault that begins at `at_s`."""

    at_s: NonNegativeOrRange


class Crash(Fault, frozen=True):
    """A fraction of the servers crashes at once; each restarts in slow start after `down_s` (0: never)."""

    part: FractionOrRange = 0.25
    down_s: NonNegativeOrRange = 10.0
    zone: str = ""  # only servers in this zone; empty: all zones


class ZoneCut(Fault, frozen=True):
    """Partitions a zone from the others for `for_s`."""

    for_s: PositiveOrRange = 10.0
    zone: str = ""  # empty: the first


class BalancerRoll(Fault, frozen=True):
    """Restarts balancers in batches over `for_s`; each starts with its cached endpoint list."""

    for_s: PositiveOrRange = 15.0
    part: FractionOrRange = 0.8  # fraction of the balancers that restart
    batch: FractionOrRange = 0.25  # fraction of all balancers restarted at a time; at least one
    down_s: PositiveOrRange = 1.0
    hand_back_s: NonNegativeOrRange = 0.0  # duration of the graceful shutdown; 0: the process is killed


class Reconnect(Fault, frozen=True):
    """Drops a fraction of the open connections from their clients' side; the clients reconnect within `within_s`."""

    part: FractionOrRange = 0.4
    within_s: PositiveOrRange = 1.0


class Slow(Fault, frozen=True):
    """A fraction of the servers works at the fraction `speed` of its own speed for `for_s`; at 0 they do not answer."""

    part: FractionOrRange = 0.1
    speed: FractionOrRange = 0.3
    for_s: PositiveOrRange = 15.0


class DiscoverySilence(Fault, frozen=True):
    """Discovery publishes no changes for `for_s`, and publishes the missed ones afterwards."""

    for_s: PositiveOrRange = 10.0


class StaleList(Fault, frozen=True):
    """Balancers that start within `for_s` read an endpoint list that is `age_s` old."""

    for_s: PositiveOrRange = 10.0
    age_s: PositiveOrRange = 20.0


class FlashCrowd(Fault, frozen=True):
    """Arrivals are multiplied by `times` for `for_s`."""

    times: PositiveOrRange = 3.0
    for_s: PositiveOrRange = 8.0


class TenantFlood(Fault, frozen=True):
    """Arrivals of one tenant are multiplied by `times` for `for_s`."""

    tenant: str = ""  # empty: the first
    times: PositiveOrRange = 8.0
    for_s: PositiveOrRange = 10.0


class Drains(Fault, frozen=True):
    """A deployment: servers drain in batches, stop after `drain_s` and restart in slow start."""

    part: FractionOrRange = 0.5
    batch: FractionOrRange = 0.1  # fraction of all servers drained at a time; at least one
    every_s: PositiveOrRange = 5.0
    drain_s: NonNegativeOrRange = 8.0
    down_s: PositiveOrRange = 3.0


class PeerLoss(Fault, frozen=True):
    """Gossip between balancers is lost with the probability `loss` for `for_s`."""

    loss: FractionOrRange = 1.0
    for_s: PositiveOrRange = 10.0


class Errs(Fault, frozen=True):
    """A fraction of the servers answers `ERR` to each attempt with the probability `chance` for `for_s`."""

    part: FractionOrRange = 0.2
    chance: FractionOrRange = 1.0
    for_s: PositiveOrRange = 20.0


class ByHand(Fault, frozen=True):
    """The server with the most connections is suspended, restarted `restart_s` later, and used again after `for_s`."""

    for_s: PositiveOrRange = 7.4
    restart_s: PositiveOrRange = 4.0
    down_s: PositiveOrRange = 2.0
    spread_s: NonNegativeOrRange = 0.05  # between the operator's calls to two balancers


class SendAway(Fault, frozen=True):
    """An operator drains a balancer; it accepts clients again after `for_s`."""

    balancer: Annotated[int, Meta(ge=0)] = 0
    for_s: PositiveOrRange = 4.5


AnyFault = (
    Crash
    | ZoneCut
    | BalancerRoll
    | Reconnect
    | Slow
    | DiscoverySilence
    | StaleList
    | FlashCrowd
    | TenantFlood
    | Drains
    | PeerLoss
    | Errs
    | ByHand
    | SendAway
)
FAULT_TYPES: tuple[type[Fault], ...] = AnyFault.__args__
