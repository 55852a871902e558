"""Files, datagrams and stores of an earlier version are still read: see tests/recorded/README.md."""

from __future__ import annotations

import asyncio
import json
import shutil
import socket
from pathlib import Path

import pytest

from glenrock.coordination import datagrams, durable_state
from glenrock.coordination.leases.candidate import LeaseRequest, RequestKind
from glenrock.coordination.leases.consul_store import ConsulStore
from glenrock.coordination.leases.fence import Fence
from glenrock.coordination.leases.sqlite_store import SqliteStore
from glenrock.coordination.leases.store import JobRequest, LeaseAnswers, Record
from glenrock.coordination.shared_work.override_log import OverrideEntry, OverrideLog
from glenrock.coordination.shared_work.revision import Revision
from glenrock.coordination.warm_start import start_record
from glenrock.coordination.warm_start.start_backoff import BackoffPolicy, StartBackoff
from glenrock.net.client_connection import ClientConnection
from glenrock.net.clock import ManualClock
from glenrock.net.connection_table import ConnectionTable
from glenrock.net.descriptor_budget import DescriptorBudget
from glenrock.net.metrics import ConnectionMetrics
from glenrock.net.routing_actor import RoutingActor
from glenrock.net.server_connections import ServerRegistry
from glenrock.net.start_times import StartTimes
from glenrock.routing import gossip_codec, interface
from glenrock.simulation import record, spec
from glenrock.testbed import scenario
from glenrock.testbed.consul_server import ConsulServer
from glenrock.testbed.loopback import LoopbackNetwork
from glenrock.upgrade import override_file, relay_message

RECORDED = Path(__file__).parent / "recorded"


def test_override_file_is_read_and_written_in_the_same_form(tmp_path: Path) -> None:
    shutil.copy(RECORDED / "glenrock-operators.json", tmp_path)
    found = override_file.read(str(tmp_path))
    known_servers = dict.fromkeys(["a:1", "b:1", "c:1"])
    assert found == override_file.SharedOverrides({"a:1", "b:1"}, {"c:1": 1764659000000.5}, known_servers)
    assert override_file.encode(found) == (RECORDED / "glenrock-operators.json").read_bytes()


def test_durable_state_is_read_and_written_in_the_same_form(tmp_path: Path) -> None:
    shutil.copy(RECORDED / "glenrock-n1.fleet.json", tmp_path)
    state = durable_state.DurableState(tmp_path, "n1")
    fence = Fence()
    overrides = OverrideLog()
    state.boot = "boot-one"
    assert state.read(fence, overrides) and fence.is_restored
    assert fence.positions == {"bans": (7, 12), "turn": (3, 0)}
    assert overrides.entries == {
        "a:1": OverrideEntry(True, Revision(7, 11)),
        "b:1": OverrideEntry(False, Revision(6, 2)),
    }
    assert overrides.committed_up_to == {"n1.5": 4} and state.permits == {"turn": ("n2.9", 3)}
    pending = [(pending_id, entry.server_id, entry.is_suspended) for pending_id, entry in overrides.pending.items()]
    assert pending == [("n1.5#5", "c:1", True)]
    written = json.loads(json.dumps(state.snapshot(fence, overrides).to_json()))
    assert written == json.loads((RECORDED / "glenrock-n1.fleet.json").read_bytes())


def test_start_record_is_read_and_written_in_the_same_form() -> None:
    data = (RECORDED / "glenrock-n1.start").read_bytes()
    found = start_record.decode(data)
    assert (found.boot, found.discovery) == ("boot-one", "127.0.0.1:8500")
    assert found.means == {"": (2.5, 9), "look": (2.0, 7)}
    assert found.table["index"] == 41 and found.table["endpoints"][0]["address"] == "127.0.0.1:9001"
    assert start_record.encode(found) == data


def test_start_times_are_read(tmp_path: Path) -> None:
    shutil.copy(RECORDED / "glenrock-n1.starts", tmp_path)
    backoff = StartBackoff(tmp_path, "n1", BackoffPolicy(30000.0, 60000.0), lambda: 0.0)
    assert backoff.read() == [1764659000000.0]


def test_sqlite_store_is_read(tmp_path: Path) -> None:
    shutil.copy(RECORDED / "owner.sqlite", tmp_path)
    store = SqliteStore(tmp_path / "owner.sqlite", now_us=lambda: 2000, boot_id="boot-one")
    lease = store.lease("bans")
    assert (lease.holder, lease.term) == ("n1.5", 7)
    assert store.records("bans") == {"a:1": Record('{"out": true}', 7, 1)}
    assert store.proposals("bans") == {"n1.5#5": '{"server": "c:1", "out": true}'}
    assert [(past.term, past.holder) for past in store.past_terms("bans")] == [(7, "n1.5")]
    store.close()


def test_consul_store_is_read() -> None:
    async def read_keys() -> None:
        consul = ConsulServer(LoopbackNetwork().next(), 0.0)
        await consul.open()
        store = ConsulStore(["{}:{}".format(*consul.address)], "n2.1", 300_000)
        try:
            entries = json.loads((RECORDED / "consul-keys.json").read_bytes())
            await store.transaction([{"Verb": "set", **entry} for entry in entries])
            assert (await store.leases(["bans"]))["bans"].term == 7
            assert await store.records("bans") == {"a/1:é": Record('{"out": true}', 7, 1)}
            assert await store.proposals("bans") == {"n1.5#5": '{"server": "c:1", "out": true}'}
            acquisition = JobRequest("bans", LeaseRequest(1, RequestKind.ACQUIRE, 0, 0))
            assert await store.submit([acquisition], 300_000) == LeaseAnswers({"bans": 8})
        finally:
            await store.close()
            await consul.close()

    asyncio.run(read_keys())


def connection_table() -> ConnectionTable:
    """Returns a connection table whose settings have the request class of the recorded relay message."""
    settings = interface.Settings(classes=(interface.RequestClass("look", 300_000, 1_000_000),))
    clock = ManualClock()
    routing = RoutingActor(settings, 7, clock)
    metrics = ConnectionMetrics(["look"])
    budget = DescriptorBudget(1024)
    servers = ServerRegistry(clock, 250.0, routing.post, metrics, budget, StartTimes(clock, 0.0))
    return ConnectionTable(routing, servers, clock, budget, False, metrics)


def test_relay_message_is_taken_over(monkeypatch: pytest.MonkeyPatch) -> None:
    taken_over: list[tuple[str, socket.socket]] = []
    monkeypatch.setattr(ClientConnection, "take_over", lambda _, server, sock: taken_over.append((server, sock)))
    data = (RECORDED / "handover.json").read_bytes()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server = socket.create_connection(listener.getsockname())
        with client, server:
            found = relay_message.decode_relay(data, connection_table(), client, server)
    assert taken_over == [("127.0.0.1:9001", server)]
    assert (found.request_line.request_id, found.request_line.group, found.reports.load) == ("50", 255, 52000)
    assert (found.line_buffer.partial_line, found.last_keyword, found.unanswered_since_ms) == (
        b"HALF A",
        "ACTIVE",
        None,
    )


def test_datagrams_are_read_and_written_in_the_same_form() -> None:
    found = json.loads((RECORDED / "datagrams.json").read_bytes())
    assert gossip_codec.decode(bytes.fromhex(found["gossip"])) == (513, 123456.0, 77, [(1, 60.0), (2, 50.0), (3, 2.0)])
    expected: list[datagrams.Message] = [
        datagrams.HolderHeartbeat("bans", 7, 0xABCDEF),
        datagrams.SyncRequest("bans", 7, Revision(6, 2), True),
        datagrams.OverrideUpdate("bans", 7, 12, Revision(7, 11), True, "a:1"),
        datagrams.Acknowledgement("bans", True, 7, 7, 12, Revision(7, 11), 3, "a:1"),
        datagrams.SharedLoads(bytes(range(8))),
        datagrams.LeaseReleased("turn"),
        datagrams.KnownOverride("bans", Revision(6, 2), False, "b:1"),
    ]
    assert [datagrams.decode(bytes.fromhex(text)) for text in found["fleet"]] == expected
    assert [datagrams.encode(message) for message in expected] == [bytes.fromhex(text) for text in found["fleet"]]


@pytest.mark.parametrize("name", sorted(path.name for path in (RECORDED / "experiments").glob("*.toml")))
def test_experiments_of_an_earlier_version_are_read(name: str) -> None:
    assert spec.sweep_points(RECORDED / "experiments" / name, {})


@pytest.mark.parametrize("name", sorted(path.name for path in (RECORDED / "scenes").glob("*.toml")))
def test_scenarios_of_an_earlier_version_are_read(name: str) -> None:
    assert scenario.load(RECORDED / "scenes" / name)


def test_results_of_an_earlier_version_are_read() -> None:
    assert record.read_summary(RECORDED / "lab" / "results")["policy"] == "glenrock"
    header, table = record.read_table(RECORDED / "lab" / "results" / "series.csv")
    assert header[0] == "second" and len(table)
