"""The model of servers, compared with results of queueing theory."""

from __future__ import annotations

import pytest

from glenrock.simulation.fleet_simulation import FleetSimulation
from glenrock.simulation.model.waits import erlang_c, fraction_in_time

from .rig import small_experiment

SETUP_ONLY = {  # a plain queue: connections end once set up, links without delay, exponential work of set-ups
    "classes": [{"name": "job", "life": 0.0, "setup_ms": 100.0, "give_up_ms": 1e6, "aim_ms": 1e3}],
    "tenants": [{"name": "all"}],
    "network": {"same_ms": 0.0, "cross_ms": 0.0, "client_ms": 0.0, "jitter": 0.0},
    "platform": {"tick_ms": 0.001, "max_attempts": 1},
    "clients": {"impatient": 0.0},
    "drain_s": 50.0,
}


@pytest.mark.parametrize(("cores", "load"), [(1, 0.7), (4, 0.85)])
def test_waits_of_one_server_are_those_of_mmc(cores: int, load: float) -> None:
    """Mean wait in M/M/c: C(c, load) times the mean work, divided by c (1 - load). Response times match within 6%."""
    simulation = FleetSimulation(
        small_experiment(
            **SETUP_ONLY,
            length_s=6000.0 / cores,
            traffic={"load": load},
            fleet={"balancers": 1, "instances": 1, "zones": ["a"]},
            kinds=[{"name": "k", "cores": cores, "queue_per_core": 1e6, "crowd_loss": 0.0}],
        ),
        11,
        "random",
    )
    summary = simulation.run()
    mean_wait_s = simulation.measure.setup_waits[0].get_mean_value() / 1e6
    expected_s = 0.1 + erlang_c(cores, load) * 0.1 / (cores * (1 - load))
    assert summary["counts"]["set_up"] > 30_000
    assert mean_wait_s == pytest.approx(expected_s, rel=0.06)


def test_queue_tails_of_two_choices_fall_doubly_exponentially() -> None:
    """The fraction of servers with k jobs or more: load^(2^k - 1) for two choices, load^k for a random one.

    Source: Mitzenmacher 2001, in the limit of many servers. With 100 servers, load 0.8 and one balancer, the fractions
    match within 0.03 (two choices) and 0.06 (random) for k up to 3, and the policies are far apart for k = 4.
    """
    load = 0.8
    tails: dict[str, list[float]] = {}
    for policy in ("two_choices", "random"):
        simulation = FleetSimulation(
            small_experiment(
                **SETUP_ONLY,
                length_s=60.0,
                traffic={"load": load},
                fleet={"balancers": 1, "instances": 100, "zones": ["a"]},
                kinds=[{"name": "k", "cores": 1, "queue_per_core": 1e6, "crowd_loss": 0.0}],
            ),
            3,
            policy,
        )
        simulation.prepare()
        servers_seen = [0] * 6  # by k, servers with k jobs or more, summed over the samples
        samples = 200
        for sample in range(samples):
            simulation.engine.run(simulation.start_us + 10_000_000 + sample * 250_000)
            jobs = [len(server.pending_attempts) for server in simulation.servers.values()]
            for min_jobs in range(6):
                servers_seen[min_jobs] += sum(count >= min_jobs for count in jobs)
        tails[policy] = [count / samples / 100 for count in servers_seen]
    for min_jobs in (1, 2, 3):
        assert tails["two_choices"][min_jobs] == pytest.approx(load ** (2**min_jobs - 1), abs=0.03)
        assert tails["random"][min_jobs] == pytest.approx(load**min_jobs, abs=0.06)
    assert tails["two_choices"][4] < 0.08 < 0.25 < tails["random"][4]


def test_fraction_of_messages_in_time_falls_with_load_and_backlog() -> None:
    fractions = [fraction_in_time(4, step / 20, 5_000, 60_000, 2.0, 0.0) for step in range(21)]
    assert fractions == sorted(fractions, reverse=True)
    assert fractions[0] == 1 and fractions[14] > 0.98 and fractions[-1] == 0
    assert fraction_in_time(4, 0.5, 5_000, 60_000, 2.0, 56_000) == 0
    assert erlang_c(1, 0.6) == pytest.approx(0.6)
    assert erlang_c(2, 0.5) == pytest.approx(1 / 3)  # two cores, offered load 1
