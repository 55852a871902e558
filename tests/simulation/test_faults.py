"""Each fault does what it says."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from glenrock.routing import interface
from glenrock.simulation import spec
from glenrock.simulation.faults import FAULTS
from glenrock.simulation.fleet_simulation import FleetSimulation
from glenrock.toml_file import InputFileError

from .days import PolicyFactory, Scripted, day


def at(d: FleetSimulation, second: float) -> FleetSimulation:
    d.engine.run(d.start_us + round(second * 1e6))
    return d


def with_fault(policy: str = "random", make: PolicyFactory | None = None, **fault: Any) -> FleetSimulation:
    over = fault.pop("over", {})
    d = day(policy=policy, make=make, faults=[fault], **over)
    d.prepare()
    return d


def test_every_kind_of_fault_is_played() -> None:
    assert set(FAULTS) == set(spec.FAULTS)


def test_a_crash_of_a_zone_ends_all_of_it_and_nothing_else() -> None:
    d = with_fault(kind="crash", at_s=3.0, part=1.0, down_s=4.0, zone="b")
    at(d, 3.01)
    assert {i.is_up for i in d.servers.values() if d.zones[i.shape.zone] == "b"} == {False}
    assert {i.is_up for i in d.servers.values() if d.zones[i.shape.zone] == "a"} == {True}
    with pytest.raises(InputFileError, match=r"faults\[0\].zone: 'c' is not one of fleet.zones"):
        with_fault(kind="crash", at_s=3.0, zone="c")


@pytest.mark.parametrize("name", ["large-herd", "large-zone", "large-join"])
def test_the_module_keeps_the_rules_on_a_large_day(name: str) -> None:
    e = spec.load(Path("experiments") / f"{name}.toml", {"length_s": 14.0, "fleet.instances": 9})
    found = FleetSimulation(e, 3, "glenrock").run()
    assert found["failure"] == "" and sum(found["rules"].values()) == 0
    assert found["counts"]["attempts"] > 100


def test_a_crash_ends_a_part_which_comes_back_cold_and_is_told_of_late() -> None:
    d = with_fault(kind="crash", at_s=3.0, part=0.5, down_s=4.0, over={"discovery": {"notice_s": 1.0, "add_s": 0.5}})
    at(d, 3.01)
    down = [i for i in d.servers.values() if not i.is_up]
    assert len(down) == 2 and not any(i.open_connections for i in down)
    assert all(d.feed.endpoints[i.name].state == "ready" for i in down)
    at(d, 4.2)
    assert all(d.balancers[0].endpoints[i.name].state == "gone" for i in down)
    at(d, 7.1)
    assert all(i.is_up and i.started_us == d.start_us + 7_000_000 and i.warm_fraction(d.engine.now) < 0.5 for i in down)
    at(d, 8.0)
    row = d.balancers[0].endpoints[down[0].name]
    assert row.state == "ready" and row.started_us == down[0].started_us


def test_a_crash_without_return_stays_down() -> None:
    d = at(with_fault(kind="crash", at_s=3.0, part=1.0, down_s=0.0), 12.0)
    assert not any(i.is_up for i in d.servers.values())
    assert not d.connected_clients


def test_a_cut_zone_is_reached_by_nobody_else_and_its_links_carry_nothing() -> None:
    d = with_fault(kind="zone_cut", at_s=3.0, for_s=4.0, zone="b")
    at(d, 3.0)
    crossing = [
        c
        for i in d.servers.values()
        for c in i.open_connections.values()
        if d.balancers[c.balancer_index].zone != i.shape.zone
    ]
    assert crossing and all(c.is_unreachable and c.load == 0 for c in crossing)
    assert not d.links.is_open(0, 1) and d.links.is_open(1, 1)
    seen = {c: c.uncredited_s for c in crossing}
    at(d, 6.9)
    for i in d.servers.values():
        i.advance(d.engine.now)
    assert all(c.uncredited_s == e for c, e in seen.items() if c.attempt in c.attempt.server.open_connections)
    at(d, 7.1)
    assert d.links.is_open(0, 1)
    assert not any(c.is_unreachable for i in d.servers.values() for c in i.open_connections.values())


def test_attempts_into_a_cut_zone_end_unconnected_after_the_dial_time() -> None:
    class Across(Scripted):
        def first(self) -> str:
            return list(self.ready)[-1]  # of the last zone

    d = with_fault(make=Across, kind="zone_cut", at_s=1.0, for_s=10.0)
    at(d, 5.0)
    ends = [
        e
        for e in d.balancers[0].policy.events
        if isinstance(e, interface.AttemptEnded) and e.outcome == "no_connection"
    ]
    assert ends and all(e.latency_us == 200_000 for e in ends)


def test_a_roll_restarts_balancers_in_batches_with_nothing_but_the_list() -> None:
    d = with_fault(
        kind="balancer_roll", at_s=2.0, for_s=4.0, part=1.0, batch=0.25, down_s=0.5, over={"fleet": {"balancers": 4}}
    )
    down = []
    for n in range(24):
        at(d, 2.05 + n * 0.25)
        down.append(sum(not h.is_up for h in d.balancers))
    assert max(down) == 1 and sum(n > 0 for n in down) >= 6
    assert all(h.is_up and h.incarnation == 3 for h in d.balancers)
    assert not d.invariants.counts["cut off"]


def test_a_roll_that_hands_back_moves_its_clients_first() -> None:
    d = with_fault(kind="balancer_roll", at_s=2.0, for_s=3.0, part=1.0, batch=0.5, down_s=0.5, hand_back_s=1.0)
    at(d, 10.0)
    assert d.measure.counts["moved"] > 10
    assert not d.invariants.counts["cut off"]


def test_a_reconnect_drops_a_part_which_comes_again_within_the_time() -> None:
    d = with_fault(kind="reconnect", at_s=4.0, part=0.5, within_s=1.0)
    at(d, 3.99)
    before = len(d.connected_clients)
    at(d, 4.0)
    assert len(d.connected_clients) == pytest.approx(before / 2, abs=2)
    at(d, 5.5)
    assert len(d.connected_clients) > 0.8 * before


def test_a_slow_part_has_its_speed_for_a_while_and_a_frozen_one_answers_nothing() -> None:
    d = with_fault(kind="slow", at_s=2.0, part=0.5, speed=0.25, for_s=3.0)
    whole = [i.capacity(d.engine.now) for i in d.servers.values()]
    at(d, 2.1)
    assert sorted(i.capacity(d.engine.now) / w for i, w in zip(d.servers.values(), whole, strict=True)) == (
        pytest.approx([0.25, 0.25, 1, 1])
    )
    at(d, 5.1)
    assert [i.capacity(d.engine.now) for i in d.servers.values()] == pytest.approx(whole)

    d = with_fault(make=Scripted, kind="slow", at_s=2.0, part=1.0, speed=0.0, for_s=20.0)
    at(d, 10.0)
    ends = [e for e in d.balancers[0].policy.events if isinstance(e, interface.AttemptEnded)]
    late = [e for e in ends if e.outcome == "timeout"]
    assert late and all(e.latency_us > 1_000_000 for e in late)


def test_silent_discovery_tells_it_all_afterwards() -> None:
    d = day(
        faults=[
            {"kind": "discovery_silence", "at_s": 1.0, "for_s": 6.0},
            {"kind": "crash", "at_s": 2.0, "part": 0.5, "down_s": 0.0},
        ],
        discovery={"notice_s": 0.5},
    )
    d.prepare()
    at(d, 6.9)
    assert all(r.state == "ready" for r in d.balancers[0].endpoints.values())
    at(d, 7.2)
    assert sum(r.state == "gone" for r in d.balancers[0].endpoints.values()) == 2


def test_a_stale_list_is_what_balancers_start_with() -> None:
    d = day(
        faults=[
            {"kind": "crash", "at_s": 1.0, "part": 0.5, "down_s": 0.0},
            {"kind": "discovery_silence", "at_s": 4.0, "for_s": 8.0},
            {"kind": "stale_list", "at_s": 4.0, "for_s": 4.0, "age_s": 10.0},
            {"kind": "balancer_roll", "at_s": 5.0, "for_s": 0.1, "part": 1.0, "batch": 1.0, "down_s": 0.2},
        ],
        discovery={"notice_s": 0.5},
    )
    d.prepare()
    at(d, 4.9)
    assert sum(r.state == "gone" for r in d.balancers[0].endpoints.values()) == 2
    at(d, 6.0)
    assert [r.state for r in d.balancers[0].endpoints.values()] == ["ready"] * 4


def test_a_flash_crowd_and_a_flood_bring_what_they_say() -> None:
    for fault, whose in (
        ({"kind": "flash_crowd", "times": 5.0}, {0, 1}),
        ({"kind": "tenant_flood", "times": 5.0, "tenant": "two"}, {1}),
    ):
        plain = day(traffic={"load": 0.6})
        d = day(faults=[{**fault, "at_s": 4.0, "for_s": 4.0}], traffic={"load": 0.6})

        def come(x: FleetSimulation, tenant: int, a: float, b: float) -> int:
            return sum(a <= r.arrival_us / 1e6 < b and r.tenant == tenant for r in x.workload.clients)

        for tenant in (0, 1):
            usual, now = come(plain, tenant, 0, 12) / 12 * 4, come(d, tenant, 4, 8)
            assert now == pytest.approx((5 if tenant in whose else 1) * usual, rel=0.45)
            assert come(d, tenant, 8, 12) == come(plain, tenant, 8, 12)


def test_a_deploy_wave_drains_stops_and_starts() -> None:
    d = with_fault(
        kind="drains",
        at_s=1.0,
        part=0.5,
        batch=0.25,
        every_s=3.0,
        drain_s=2.0,
        down_s=1.0,
        over={"discovery": {"notice_s": 0.3}},
    )
    at(d, 1.5)
    (first,) = [i for i in d.servers.values() if i.is_draining]
    assert first.is_up and d.balancers[0].endpoints[first.name].state == "draining"
    at(d, 3.1)
    assert not first.is_up
    at(d, 4.5)
    assert first.is_up and first.started_us and sum(i.is_draining for i in d.servers.values()) == 1


def test_peer_messages_are_lost_for_a_while() -> None:
    d = with_fault(policy="glenrock", kind="peer_loss", at_s=3.0, for_s=6.0, loss=1.0)
    at(d, 3.2)
    before = d.measure.counts["peer_bytes"]
    at(d, 9.0)
    assert d.measure.counts["peer_bytes"] == before
    at(d, 16.0)
    assert d.measure.counts["peer_bytes"] > before
