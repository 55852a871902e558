"""The rules on attempts and answers, under random sequences of events, seeded."""

from __future__ import annotations

import random

import pytest
from conftest import SECOND, Harness, settings

from glenrock.routing import interface

KINDS = [("safe", "all"), ("keyed", "all"), ("keyed", "zone"), ("keyed", "cell"), ("unsafe", "all")]


def check_rules(
    harness: Harness,
    deadlines_us: dict[str, int],
    idempotency: str,
    scope: str,
    not_ready_spans: dict[str, list[list[int]]],
    ended: dict[str, dict[int, str]],
    ended_at_us: dict[str, int],
    endpoints: dict[str, interface.Endpoint],
) -> None:
    sent: dict[str, list[tuple[int, str]]] = {}
    final: dict[str, int] = {}
    for at, a in harness.action_log:
        if isinstance(a, interface.StartAttempt):
            assert a.id not in final, "sent after its final answer"
            assert at < ended_at_us.get(a.id, 1 << 62), "sent after its end was reported"
            assert not any(start < at < back for start, back in not_ready_spans[a.server]), "sent to a draining server"
            attempts = sent.setdefault(a.id, [])
            executed = [
                (t, s)
                for n, (t, s) in enumerate(attempts)
                if ended.get(a.id, {}).get(n) not in interface.NOT_EXECUTED_OUTCOMES
            ]
            assert all(n in ended.get(a.id, {}) for n in range(len(attempts))), "two attempts in flight"
            if executed and idempotency != "safe":
                assert idempotency == "keyed", "an unsafe request was retried"
                first = endpoints[executed[0][1]]
                assert at <= executed[0][0] + 400_000, "outside the window"
                if scope != "all":
                    part = "zone" if scope == "zone" else "cell"
                    assert getattr(first, part) == getattr(endpoints[a.server], part)
            attempts.append((at, a.server))
            assert len(attempts) <= harness.settings.max_attempts
        elif isinstance(a, interface.Reject | interface.Fail):
            assert a.id not in final, "two final answers"
            final[a.id] = at
            if isinstance(a, interface.Reject) and idempotency != "safe" and (idempotency, scope) != ("keyed", "all"):
                assert all(
                    ended.get(a.id, {}).get(n) in interface.NOT_EXECUTED_OUTCOMES
                    for n in range(len(sent.get(a.id, [])))
                )
    for name, deadline in deadlines_us.items():
        if name not in ended_at_us:
            assert name in final and final[name] <= deadline, f"{name} was lost"


@pytest.mark.parametrize("idempotency,scope", KINDS)
@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_over_random_events(idempotency: str, scope: str, seed: int) -> None:
    rng = random.Random(f"{idempotency}{scope}{seed}")
    kind = interface.RequestClass("read", 300_000, 1_000_000, 60_000, 1.0, idempotency, scope, 400_000)
    harness = Harness(
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
    endpoints = {
        f"s{n}:1": interface.Endpoint(f"s{n}:1", interface.EndpointState.READY, f"z{n % 3}", n % 4) for n in range(12)
    }
    not_ready_spans: dict[str, list[list[int]]] = {name: [] for name in endpoints}
    ended: dict[str, dict[int, str]] = {}
    deadlines_us: dict[str, int] = {}
    ended_at_us: dict[str, int] = {}
    read = 0
    harness.deliver(interface.EndpointList(interface.EndpointListKind.CACHED, tuple(endpoints.values())))
    pending: list[tuple[int, str, int, str]] = []
    for _ in range(400):
        roll = rng.random()
        if roll < 0.45:
            life = rng.choice([3_000, 20_000, 300_000, SECOND])
            name = harness.send_request(
                key=rng.randrange(60),
                group=rng.choice([None, rng.randrange(5)]),
                life_us=life,
                load=rng.choice([0, 500, 9000]),
                is_midstream=rng.random() < 0.05,
            )
            deadlines_us[name] = harness.now_us + life
        elif roll < 0.5:
            name = rng.choice(sorted(endpoints))
            state = rng.choice(["ready", "ready", "draining", "gone"])
            e = interface.Endpoint(
                name, state, endpoints[name].zone, endpoints[name].cell, 1.0, rng.choice([0, harness.now_us])
            )
            if not_ready_spans[name] and not_ready_spans[name][-1][1] > harness.now_us:
                not_ready_spans[name][-1][1] = harness.now_us
            if state != "ready":
                not_ready_spans[name].append([harness.now_us, 1 << 62])
            harness.deliver(interface.EndpointList(interface.EndpointListKind.CHANGES, (e,)))
        elif roll < 0.55:
            harness.deliver(
                interface.EndpointList(interface.EndpointListKind.FAILED),
                interface.TimerFired(999_999),
                interface.GossipReceived(1, rng.randbytes(9)),
            )
        harness.advance(rng.choice([4_000, 8_000, 40_000, 150_000]))
        for _, a in harness.action_log[read:]:
            if isinstance(a, interface.StartAttempt):
                n = len(ended.setdefault(a.id, {})) + sum(p[1] == a.id for p in pending)
                pending.append((harness.now_us + rng.choice([1_000, 90_000, 2 * SECOND]), a.id, n, a.server))
            elif isinstance(a, interface.SendHealthCheck) and rng.random() < 0.8:
                harness.deliver(
                    interface.HealthCheckResult(
                        a.server,
                        rng.choice(interface.ATTEMPT_OUTCOMES),
                        1000,
                        {"load_ratio": rng.choice([0.1, 0.5, 0.7, 1.4])},
                    )
                )
        read = len(harness.action_log)
        for p in [p for p in pending if p[0] <= harness.now_us]:
            pending.remove(p)
            _, name, n, server = p
            answered = any(isinstance(a, interface.Reject | interface.Fail) for a in harness.actions_for(name))
            if not answered and rng.random() < 0.6:
                ended_at_us[name] = harness.now_us
                harness.deliver(interface.ConnectionEstablished(name, n, server, 1000))
                pending.append((harness.now_us + 3 * SECOND, name, n, server))
                continue
            verdict = rng.choice(interface.ATTEMPT_OUTCOMES[1:])
            ended.setdefault(name, {})[n] = verdict
            harness.deliver(interface.AttemptEnded(name, n, server, verdict, answered or name in ended_at_us, 1000))
    harness.advance(3 * SECOND)
    check_rules(harness, deadlines_us, idempotency, scope, not_ready_spans, ended, ended_at_us, endpoints)
    assert sum(isinstance(a, interface.StartAttempt) for _, a in harness.action_log) > 8
