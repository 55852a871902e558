"""The four rules over random event sequences: seeded, the same in every run."""

from __future__ import annotations

import random

import pytest
from conftest import SECOND, Harness, settings

from glenrock.routing import interface

KINDS = [("safe", "all"), ("keyed", "all"), ("keyed", "zone"), ("keyed", "cell"), ("unsafe", "all")]


def judge(
    h: Harness,
    owed: dict[str, int],
    effect: str,
    scope: str,
    gone: dict[str, list[list[int]]],
    ended: dict[str, dict[int, str]],
    over: dict[str, int],
    where: dict[str, interface.Endpoint],
) -> None:
    sent: dict[str, list[tuple[int, str]]] = {}
    final: dict[str, int] = {}
    for at, a in h.log:
        if isinstance(a, interface.StartAttempt):
            assert a.id not in final, "sent after its final answer"
            assert at < over.get(a.id, 1 << 62), "sent after its end was reported"
            assert not any(start < at < back for start, back in gone[a.server]), "sent to a draining server"
            tries = sent.setdefault(a.id, [])
            ran = [
                (t, s)
                for n, (t, s) in enumerate(tries)
                if ended.get(a.id, {}).get(n) not in interface.NOT_EXECUTED_OUTCOMES
            ]
            assert all(n in ended.get(a.id, {}) for n in range(len(tries))), "two attempts at once"
            if ran and effect != "safe":
                assert effect == "keyed", "an unsafe request went out again"
                first = where[ran[0][1]]
                assert at <= ran[0][0] + 400_000, "outside the window"
                if scope != "all":
                    part = "zone" if scope == "zone" else "cell"
                    assert getattr(first, part) == getattr(where[a.server], part)
            tries.append((at, a.server))
            assert len(tries) <= h.settings.max_attempts
        elif isinstance(a, interface.Reject | interface.Fail):
            assert a.id not in final, "two final answers"
            final[a.id] = at
            if isinstance(a, interface.Reject) and effect != "safe" and (effect, scope) != ("keyed", "all"):
                assert all(
                    ended.get(a.id, {}).get(n) in interface.NOT_EXECUTED_OUTCOMES
                    for n in range(len(sent.get(a.id, [])))
                )
    for name, deadline in owed.items():
        if name not in over:
            assert name in final and final[name] <= deadline, f"{name} was lost"


@pytest.mark.parametrize("effect,scope", KINDS)
@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_over_random_events(effect: str, scope: str, seed: int) -> None:
    rng = random.Random(f"{effect}{scope}{seed}")
    kind = interface.RequestClass("read", 300_000, 1_000_000, 60_000, 1.0, effect, scope, 400_000)
    h = Harness(
        settings(
            classes=(kind,),
            may_health_check=seed % 2 == 0,
            load_report_fields=("load_ratio",),
            zone="z0",
            must_poll_endpoints=seed % 3 == 0,
            cross_zone_cost=0.03,
            health_check_cost=0.002,
        ),
        seed,
    )
    where = {f"s{n}:1": interface.Endpoint(f"s{n}:1", "ready", f"z{n % 3}", n % 4) for n in range(12)}
    gone: dict[str, list[list[int]]] = {name: [] for name in where}
    ended: dict[str, dict[int, str]] = {}
    owed: dict[str, int] = {}
    over: dict[str, int] = {}
    read = 0
    h.give(interface.EndpointList("remembered", tuple(where.values())))
    pending: list[tuple[int, str, int, str]] = []
    for _ in range(400):
        roll = rng.random()
        if roll < 0.45:
            life = rng.choice([3_000, 20_000, 300_000, SECOND])
            name = h.request(
                key=rng.randrange(60),
                group=rng.choice([None, rng.randrange(5)]),
                life_us=life,
                load=rng.choice([0, 500, 9000]),
                is_midstream=rng.random() < 0.05,
            )
            owed[name] = h.now + life
        elif roll < 0.5:
            name = rng.choice(sorted(where))
            state = rng.choice(["ready", "ready", "draining", "gone"])
            e = interface.Endpoint(name, state, where[name].zone, where[name].cell, 1.0, rng.choice([0, h.now]))
            if gone[name] and gone[name][-1][1] > h.now:
                gone[name][-1][1] = h.now
            if state != "ready":
                gone[name].append([h.now, 1 << 62])
            h.give(interface.EndpointList("changes", (e,)))
        elif roll < 0.55:
            h.give(
                interface.EndpointList("failed"),
                interface.TimerFired(999_999),
                interface.GossipReceived(1, rng.randbytes(9)),
            )
        h.run(rng.choice([4_000, 8_000, 40_000, 150_000]))
        for _, a in h.log[read:]:
            if isinstance(a, interface.StartAttempt):
                n = len(ended.setdefault(a.id, {})) + sum(p[1] == a.id for p in pending)
                pending.append((h.now + rng.choice([1_000, 90_000, 2 * SECOND]), a.id, n, a.server))
            elif isinstance(a, interface.SendHealthCheck) and rng.random() < 0.8:
                h.give(
                    interface.HealthCheckResult(
                        a.server,
                        rng.choice(interface.ATTEMPT_OUTCOMES),
                        1000,
                        {"load_ratio": rng.choice([0.1, 0.5, 0.7, 1.4])},
                    )
                )
        read = len(h.log)
        for p in [p for p in pending if p[0] <= h.now]:
            pending.remove(p)
            _, name, n, server = p
            answered = any(isinstance(a, interface.Reject | interface.Fail) for a in h.done(name))
            if not answered and rng.random() < 0.6:
                over[name] = h.now
                h.give(interface.ConnectionEstablished(name, n, server, 1000))
                pending.append((h.now + 3 * SECOND, name, n, server))
                continue
            verdict = rng.choice(interface.ATTEMPT_OUTCOMES[1:])
            ended.setdefault(name, {})[n] = verdict
            h.give(interface.AttemptEnded(name, n, server, verdict, answered or name in over, 1000))
    h.run(3 * SECOND)
    judge(h, owed, effect, scope, gone, ended, over, where)
    assert sum(isinstance(a, interface.StartAttempt) for _, a in h.log) > 8
