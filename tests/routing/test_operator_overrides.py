"""Operator overrides: a suspended server receives nothing, and a resumed one warms up, whatever the list states."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest
from conftest import SECOND, Harness, HarnessFactory, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import interface
from glenrock.routing.gossip_codec import GossipSummary, decode
from glenrock.routing.interface import AttemptOutcome, EndpointListKind, EndpointState
from glenrock.routing.slow_start import reference_load
from glenrock.routing.state import Peer

from .scenarios import establish_requests, migrated_requests, receive_summary, rejections, run_rounds

NAMES = [f"s{number}:1" for number in range(5)]
SERVER = NAMES[0]
BEYOND_CHECK_WAIT_US = SECOND // 10  # longer than a request waits for health checks


def suspend(harness: Harness, *server_ids: str) -> None:
    """Delivers overrides that suspend these servers, in one batch."""
    harness.deliver(*(interface.OperatorOverride(server_id, True) for server_id in server_ids))


def resume(harness: Harness, *server_ids: str) -> None:
    """Delivers overrides that resume these servers, in one batch."""
    harness.deliver(*(interface.OperatorOverride(server_id, False) for server_id in server_ids))


def migrated_during(harness: Harness, load: float, rounds: int) -> set[str]:
    """Runs rounds in which all servers report this load. Returns the requests whose clients migrate."""
    return set(migrated_requests(run_rounds(harness, dict.fromkeys(NAMES, load), rounds)))


def test_suspended_server_drains(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=NAMES)
    request_ids = establish_requests(harness, 40)
    on_server = [request_id for request_id in request_ids if harness.attempts_of(request_id)[-1].server_id == SERVER]
    assert on_server
    suspend(harness, SERVER, SERVER)
    harness.advance(3 * SECOND)
    migrated = set(migrated_requests(action for _, action in harness.action_log))
    assert sorted(migrated) == sorted(on_server)


def test_clients_of_a_suspended_server_stay_while_the_others_are_full(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=NAMES, may_health_check=True, load_report_fields=("load_ratio",))
    establish_requests(harness, 60, load=10, wait_us=BEYOND_CHECK_WAIT_US)
    server = harness.balancer.servers[SERVER]
    assert server.connections and not migrated_during(harness, 0.75, rounds=8)
    suspend(harness, SERVER)
    assert not migrated_during(harness, 0.75, rounds=8), "the others are above the target load of 0.72"
    connections = set(server.connections)
    migrated = migrated_during(harness, 0.65, rounds=7)
    assert migrated and migrated < connections, "a part migrates each round, within the free capacity"
    assert migrated_during(harness, 0.3, rounds=8) | migrated == connections


def test_clients_of_a_suspended_server_that_is_gone_migrate_at_once(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=NAMES, may_health_check=True, load_report_fields=("load_ratio",))
    establish_requests(harness, 60, load=10, wait_us=BEYOND_CHECK_WAIT_US)
    migrated_during(harness, 0.75, rounds=8)
    connections = set(harness.balancer.servers[SERVER].connections)
    suspend(harness, SERVER)
    assert connections and not migrated_during(harness, 0.75, rounds=6)
    harness.list_servers(SERVER, kind=EndpointListKind.CHANGES, state=EndpointState.GONE)
    assert migrated_during(harness, 0.75, rounds=1) >= connections


def test_servers_resumed_together_warm_up_within_their_budgets(make_harness: HarnessFactory) -> None:
    harness = make_harness(
        names=NAMES,
        balancers=1,
        slow_start_us=9 * SECOND,
        slow_start_initial_fraction=0.31,
        slow_start_multiple=3.0,
        slow_start_window_us=3 * SECOND,
    )
    establish_requests(harness, 100, load=10, wait_us=BEYOND_CHECK_WAIT_US)
    harness.advance(6 * SECOND)
    slow_start = harness.balancer.slow_start
    reference_load_before = slow_start.reference_load
    assert reference_load_before == 1000
    suspend(harness, *NAMES)
    harness.advance(SECOND)
    for request_id in list(harness.balancer.requests):
        harness.end_attempt(request_id, AttemptOutcome.BROKEN, is_final=True)
    harness.advance(4 * SECOND)
    rejected_id = harness.send_request(key=500, load=10)
    assert rejections(harness.actions_for(rejected_id)), "all servers are suspended"
    resume(harness, *NAMES)
    sent_count = 0
    for key in range(100):
        request_id = harness.send_request(key=key, load=10)
        if harness.attempts_of(request_id):
            harness.establish(request_id)
            sent_count += 1
        harness.advance(25_000)
    warmth = slow_start.warmth(harness.balancer.servers[SERVER])
    # Connections: budget fraction * slow-start multiple * window / slow start * warmth * connections / fleet load.
    budgets = 0.45 * 3 * 3 / 9 * warmth * 100 / harness.balancer.loads.fleet_load
    assert 10 <= sent_count <= budgets + len(NAMES)
    assert slow_start.reference_load == reference_load_before


def test_resumed_server_warms_up_whatever_the_list_reports(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=NAMES)
    suspend(harness, SERVER)
    suspend(harness, SERVER)
    server, slow_start = harness.balancer.servers[SERVER], harness.balancer.slow_start
    assert not server.is_ready and slow_start.warmth(server) == 1
    harness.advance(SECOND)
    resume(harness, SERVER)
    assert server.is_ready and slow_start.warmth(server) < 0.2
    harness.list_servers(*NAMES, started_us=0)
    assert server.is_ready and slow_start.warmth(server) < 0.2
    resume(harness, SERVER)  # a repeated resumption changes nothing
    assert server.started_us == harness.now_us


def test_suspension_survives_removal_from_the_list(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=NAMES)
    servers = harness.balancer.servers
    suspend(harness, SERVER)
    harness.list_servers(*NAMES[1:])
    assert SERVER not in servers
    harness.list_servers(*NAMES)
    assert not servers[SERVER].is_ready
    harness.list_servers(*NAMES[1:])
    resume(harness, SERVER)
    harness.list_servers(*NAMES)
    assert servers[SERVER].is_ready and harness.balancer.slow_start.warmth(servers[SERVER]) < 0.2


def test_requests_are_rejected_at_once_while_the_only_server_is_suspended(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=["a:1"])
    suspend(harness, "a:1")
    request_id = harness.send_request()
    rejected = rejections(harness.actions_for(request_id))
    assert len(rejected) == 1 and rejected[0].retry_after_us > 0
    assert harness.now_us == harness.action_log[-1].at_us
    resume(harness, "a:1")
    harness.advance(harness.settings.slow_start_us)
    assert harness.attempts_of(harness.send_request())


def last_summary(harness: Harness) -> GossipSummary:
    """Returns the last gossip summary that the balancer has sent."""
    sent = [action.data for _, action in harness.action_log if isinstance(action, interface.SendGossip)]
    summary = decode(sent[-1])
    assert summary
    return summary


def test_migrated_clients_of_a_draining_balancer_keep_no_session(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=NAMES, balancers=2)
    sessions = harness.balancer.sessions
    request_ids = establish_requests(harness, 20, load=10)
    harness.advance(6 * SECOND)
    assert sessions.active_load == 200
    assert last_summary(harness)[1:3] == (200.0, 20)
    harness.deliver(interface.DrainMode(True))
    for request_id in request_ids[:15]:
        harness.end_attempt(request_id, AttemptOutcome.CANCELLED, is_final=True)
    assert sessions.active_load == 50  # they keep no session
    harness.advance(SECOND)
    assert last_summary(harness)[1:3] == (50.0, 0)  # no clients, so the other balancers share its quota
    harness.deliver(interface.DrainMode(False))
    harness.end_attempt(request_ids[15], AttemptOutcome.CANCELLED, is_final=True)
    assert sessions.active_load == 50  # the session of a client that migrated off a server is kept
    harness.advance(6 * SECOND)
    assert last_summary(harness).clients > 0


def test_quota_and_slow_start_budget_of_a_draining_balancer_go_to_the_others(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=NAMES, balancers=2, slow_start_us=9 * SECOND, slow_start_window_us=3 * SECOND)
    harness.advance(SECOND)
    harness.establish(harness.send_request(key=1, load=10))
    harness.advance(5 * SECOND)
    harness.list_servers(SERVER, kind=EndpointListKind.CHANGES, started_us=harness.now_us)
    balancer = harness.balancer
    for peer_clients, client_fraction, expected_reference_load in ((99, 0.01, 10), (0, 1.0, 2010)):
        harness.advance(SECOND)
        receive_summary(harness, 1, 2000.0, peer_clients)
        harness.advance(SECOND // 2)
        assert balancer.admission.client_fraction() == client_fraction
        assert balancer.slow_start.reference_load == expected_reference_load


class TierMember(NamedTuple):
    """A balancer of a randomly drawn tier.

    Attributes:
        active_load: load of its connections.
        state: "serving", "draining", or "new": it has just started and has seen no clients.
        clients: number of its clients, if it is serving.
    """

    active_load: float
    state: str
    clients: int

    @property
    def reported_clients(self) -> int:
        """The number of clients that its gossip summary states."""
        return self.clients if self.state == "serving" else 0


TIER_MEMBERS = st.builds(
    TierMember, st.floats(1, 1e6), st.sampled_from(["serving", "serving", "draining", "new"]), st.integers(1, 500)
)


def reference_load_of(own_index: int, tier: list[TierMember]) -> float:
    """Returns the reference load at a balancer that has received the summaries of all others."""
    own = tier[own_index]
    others = [member for index, member in enumerate(tier) if index != own_index]
    peers = [Peer(0, 0, member.active_load, member.reported_clients, []) for member in others]
    own_clients = 0 if own.state == "new" else own.clients
    clients_of_others = sum(member.reported_clients for member in others)
    client_fraction = own_clients / (own_clients + clients_of_others) if own_clients else None
    return reference_load(
        own.active_load, client_fraction, peers, len(tier), is_balancer_draining=own.state == "draining"
    )


@given(st.lists(TIER_MEMBERS, min_size=2, max_size=8))
def test_reference_loads_add_up_to_the_load_of_the_tier(tier: list[TierMember]) -> None:
    total_reference_load = sum(reference_load_of(index, tier) for index in range(len(tier)))
    total_load = sum(member.active_load for member in tier)
    assert total_reference_load <= total_load * 1.001
    if any(member.reported_clients for member in tier):
        assert total_reference_load >= total_load * 0.999


class RandomOverrides:
    """Delivers random events, including overrides, to one balancer.

    Attributes:
        rng: source of the random events.
        harness: harness of the balancer.
        suspended: ids of the suspended servers.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.harness = Harness(
            settings(may_health_check=seed % 2 == 0, load_report_fields=("load_ratio",), slow_start_us=4 * SECOND), seed
        )
        self.harness.list_servers(*NAMES)
        self.suspended: set[str] = set()

    def step(self) -> None:
        """Delivers a random event, or advances time."""
        roll = self.rng.random()
        if roll < 0.15:
            self._override()
        elif roll < 0.3:
            self._list_some_servers()
        elif roll < 0.8:
            self._send_request()
        else:
            self.harness.advance(self.rng.choice([10_000, 100_000, SECOND]))

    def _override(self) -> None:
        server_id, is_suspended = self.rng.choice(NAMES), self.rng.random() < 0.6
        self.harness.deliver(interface.OperatorOverride(server_id, is_suspended))
        if is_suspended:
            self.suspended.add(server_id)
        else:
            self.suspended.discard(server_id)

    def _list_some_servers(self) -> None:
        kind = self.rng.choice([EndpointListKind.FULL, EndpointListKind.CHANGES, EndpointListKind.CACHED])
        server_ids = self.rng.sample(NAMES, self.rng.randint(1, 5))
        states = [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
        state = self.rng.choice(states)
        started_us = self.rng.choice([0, self.harness.now_us])
        self.harness.list_servers(*server_ids, kind=kind, state=state, started_us=started_us)

    def _send_request(self) -> None:
        request_id = self.harness.send_request(key=self.rng.randrange(30), group=self.rng.choice([None, 1, 2]))
        if not self.harness.attempts_of(request_id) or self.rng.random() >= 0.8:
            return
        if self.rng.random() < 0.7:
            self.harness.establish(request_id)
            return
        outcomes = [
            AttemptOutcome.FULL,
            AttemptOutcome.NO_CONNECTION,
            AttemptOutcome.UNSENT,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.BROKEN,
        ]
        self.harness.end_attempt(request_id, self.rng.choice(outcomes))


@pytest.mark.parametrize("seed", range(25))
def test_suspended_server_receives_nothing_in_random_sequences(seed: int) -> None:
    run = RandomOverrides(seed)
    harness = run.harness
    checked_count = 0
    for _ in range(250):
        run.step()
        for _, action in harness.action_log[checked_count:]:
            if isinstance(action, interface.StartAttempt | interface.SendHealthCheck):
                assert action.server_id not in run.suspended, f"{action} while the server is suspended"
        checked_count = len(harness.action_log)
    for server_id in run.suspended:
        resume(harness, server_id)
    harness.list_servers(*NAMES)
    harness.advance(20 * SECOND)  # all servers are warm and no ejection is left
    servers = [harness.balancer.servers[server_id] for server_id in NAMES]
    assert all(harness.balancer.ejection.may_receive(server, 1.0) for server in servers)
