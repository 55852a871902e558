"""The kinds of fault in an experiment file. What each does is in `faults`."""

from __future__ import annotations

import re
from typing import Annotated

from msgspec import Meta

from .spec_types import Above0R, Least0R, PartR, Strict


def fault_name(type_name: str) -> str:
    """`ZoneCut` is `zone_cut` in a file."""
    return re.sub(r"(?<=.)([A-Z])", r"_\1", type_name).lower()


class Fault(Strict, frozen=True, tag_field="kind", tag=fault_name):
    """Something that goes wrong from `at_s` on."""

    at_s: Least0R


class Crash(Fault, frozen=True):
    """A part of the servers dies at once; each comes back cold after `down_s` (0: never)."""

    part: PartR = 0.25
    down_s: Least0R = 10.0
    zone: str = ""  # of this zone alone; empty: of all


class ZoneCut(Fault, frozen=True):
    """Links between one zone and the others carry nothing for `for_s`."""

    for_s: Above0R = 10.0
    zone: str = ""  # empty: the first


class BalancerRoll(Fault, frozen=True):
    """Balancers are restarted over `for_s`, a part of all at a time; each has nothing but its last list."""

    for_s: Above0R = 15.0
    part: PartR = 0.8  # of all balancers that are restarted
    batch: PartR = 0.25  # at a time, of all; at least one
    down_s: Above0R = 1.0
    hand_back_s: Least0R = 0.0  # 0: killed outright; else it moves its clients away over this time first


class Reconnect(Fault, frozen=True):
    """A part of the standing connections drops, and its clients come again within `within_s`."""

    part: PartR = 0.4
    within_s: Above0R = 1.0


class Slow(Fault, frozen=True):
    """A part of the servers works at `speed` of its own for `for_s`; 0 stands still and answers nothing."""

    part: PartR = 0.1
    speed: PartR = 0.3
    for_s: Above0R = 15.0


class DiscoverySilence(Fault, frozen=True):
    """Discovery tells nothing for `for_s`; afterwards, what it missed."""

    for_s: Above0R = 10.0


class StaleList(Fault, frozen=True):
    """Balancers that start within `for_s` are given a list that is `age_s` old."""

    for_s: Above0R = 10.0
    age_s: Above0R = 20.0


class FlashCrowd(Fault, frozen=True):
    """Arrivals are multiplied for `for_s`."""

    times: Above0R = 3.0
    for_s: Above0R = 8.0


class TenantFlood(Fault, frozen=True):
    """Arrivals of one tenant are multiplied for `for_s`."""

    tenant: str = ""  # empty: the first
    times: Above0R = 8.0
    for_s: Above0R = 10.0


class Drains(Fault, frozen=True):
    """A deploy: servers are drained a part at a time, stop after `drain_s` and start again cold."""

    part: PartR = 0.5
    batch: PartR = 0.1  # at a time, of all; at least one
    every_s: Above0R = 5.0
    drain_s: Least0R = 8.0
    down_s: Above0R = 3.0


class PeerLoss(Fault, frozen=True):
    """Messages between balancers are lost with this chance for `for_s`."""

    loss: PartR = 1.0
    for_s: Above0R = 10.0


class Errs(Fault, frozen=True):
    """A part of the servers answers `ERR` to set-ups, with this chance each, for `for_s`."""

    part: PartR = 0.2
    chance: PartR = 1.0
    for_s: Above0R = 20.0


class ByHand(Fault, frozen=True):
    """The server that carries most is taken out, restarted `restart_s` later, and called back after `for_s`."""

    for_s: Above0R = 7.4
    restart_s: Above0R = 4.0
    down_s: Above0R = 2.0
    spread_s: Least0R = 0.05  # between the calls to two balancers


class SendAway(Fault, frozen=True):
    """Operators send a balancer's clients away; it takes clients again after `for_s`."""

    balancer: Annotated[int, Meta(ge=0)] = 0
    for_s: Above0R = 4.5


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
FAULTS: tuple[type[Fault], ...] = AnyFault.__args__
