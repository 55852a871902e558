"""What the version before wrote is still read: see tests/recorded/README.md."""

from __future__ import annotations

import asyncio
import json
import shutil
import socket
from pathlib import Path
from types import SimpleNamespace

import pytest

from glenrock.coordination import datagrams, durable_state
from glenrock.coordination.leases.candidate import LeaseRequest, RequestKind
from glenrock.coordination.leases.consul_store import ConsulStore
from glenrock.coordination.leases.fence import Fence
from glenrock.coordination.leases.sqlite_store import SqliteStore
from glenrock.coordination.leases.store import JobRequest, LeaseAnswers, Record
from glenrock.coordination.shared_work.override_log import OverrideEntry, OverrideLog
from glenrock.coordination.warm_start import start_record as start_record
from glenrock.coordination.warm_start.start_backoff import BackoffPolicy, StartBackoff
from glenrock.routing.gossip_codec import decode
from glenrock.simulation import record as lab_record
from glenrock.simulation import spec
from glenrock.testbed import scenario as scene_spec
from glenrock.testbed.consul_server import ConsulServer
from glenrock.testbed.loopback import LoopbackNetwork
from glenrock.upgrade import override_file, relay_message

RECORDED = Path(__file__).parent / "recorded"


def test_servers_out_of_rotation_are_read_and_written_in_the_same_form(tmp_path) -> None:
    shutil.copy(RECORDED / "glenrock-operators.json", tmp_path)
    found = override_file.read(str(tmp_path))
    seen = dict.fromkeys(["a:1", "b:1", "c:1"])
    assert found == override_file.SharedOverrides({"a:1", "b:1"}, {"c:1": 1764659000000.5}, seen)
    assert override_file.encode(found) == (RECORDED / "glenrock-operators.json").read_bytes()


def test_terms_and_words_of_a_balancer_are_read_and_written_in_the_same_form(tmp_path) -> None:
    shutil.copy(RECORDED / "glenrock-n1.fleet.json", tmp_path)
    file, fence, board = durable_state.DurableState(tmp_path, "n1"), Fence(), OverrideLog()
    file.boot = "boot-one"
    assert file.read(fence, board) and fence.is_restored
    assert fence.positions == {"bans": (7, 12), "turn": (3, 0)}
    assert board.entries == {"a:1": OverrideEntry(True, (7, 11)), "b:1": OverrideEntry(False, (6, 2))}
    assert board.committed_up_to == {"n1.5": 4} and file.permits == {"turn": ("n2.9", 3)}
    assert [(i, w.server, w.is_suspended) for i, w in board.pending.items()] == [("n1.5#5", "c:1", True)]
    written = json.loads(json.dumps(file.snapshot(fence, board).to_json()))
    assert written == json.loads((RECORDED / "glenrock-n1.fleet.json").read_bytes())


def test_what_was_kept_for_a_start_is_read_and_written_in_the_same_form() -> None:
    data = (RECORDED / "glenrock-n1.start").read_bytes()
    found = start_record.decode(data)
    assert (found.boot, found.discovery) == ("boot-one", "127.0.0.1:8500")
    assert found.means == {"": (2.5, 9), "look": (2.0, 7)}
    assert found.table["index"] == 41 and found.table["endpoints"][0]["address"] == "127.0.0.1:9001"
    assert start_record.encode(found) == data


def test_times_of_the_last_starts_are_read(tmp_path) -> None:
    shutil.copy(RECORDED / "glenrock-n1.starts", tmp_path)
    starts = StartBackoff(tmp_path, "n1", BackoffPolicy(30000.0, 60000.0), lambda: 0.0)
    assert starts.read() == [1764659000000.0]


def test_a_lease_store_of_one_machine_is_read(tmp_path) -> None:
    shutil.copy(RECORDED / "owner.sqlite", tmp_path)
    store = SqliteStore(tmp_path / "owner.sqlite", now_us=lambda: 2000, boot="boot-one")
    lease = store.lease("bans")
    assert (lease.holder, lease.term) == ("n1.5", 7)
    assert store.records("bans") == {"a:1": Record('{"out": true}', 7, 1)}
    assert store.proposals("bans") == {"n1.5#5": '{"server": "c:1", "out": true}'}
    assert [(p.term, p.holder) for p in store.past_terms("bans")] == [(7, "n1.5")]
    store.close()


def test_keys_at_consul_are_read() -> None:
    async def story() -> None:
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

    asyncio.run(story())


def test_a_connection_handed_over_is_taken() -> None:
    data = (RECORDED / "handover.json").read_bytes()
    taken: list[tuple[str, socket.socket]] = []

    class Takes(relay_message.ClientConnection):
        def take_over(self, name: str, sock: socket.socket) -> None:
            taken.append((name, sock))

    known = relay_message.protocol.KnownNames({"look": 1000.0})
    clock = SimpleNamespace(now_ms=lambda: 0.0)
    server = SimpleNamespace(
        known_names=known, is_open=lambda id_: False, is_full=lambda: False, routing=None, metrics=None, clock=clock
    )
    with pytest.MonkeyPatch.context() as patch, socket.create_server(("127.0.0.1", 0)) as listener:
        patch.setattr(relay_message, "ClientConnection", Takes)
        client = socket.create_connection(listener.getsockname())
        backend = socket.create_connection(listener.getsockname())
        with client, backend:
            found = relay_message.decode_relay(data, server, client, backend)
    assert taken == [("127.0.0.1:9001", backend)]
    assert (found.request_line.request_id, found.request_line.group, found.reports.load) == ("50", 255, 52000)
    assert (found.gate.splitter.partial_line, found.last_word, found.unanswered_since_ms) == (b"HALF A", "ACTIVE", None)


def test_datagrams_are_read_and_written_in_the_same_form() -> None:
    found = json.loads((RECORDED / "datagrams.json").read_bytes())
    assert decode(bytes.fromhex(found["gossip"])) == (513, 123456.0, 77, [(1, 60.0), (2, 50.0), (3, 2.0)])
    messages = [datagrams.decode(bytes.fromhex(text)) for text in found["fleet"]]
    assert messages == [
        datagrams.LeaderHeartbeat("bans", 7, 0xABCDEF),
        datagrams.SyncRequest("bans", 7, (6, 2), True),
        datagrams.OverrideUpdate("bans", 7, 12, (7, 11), True, "a:1"),
        datagrams.Acknowledgement("bans", True, 7, 7, 12, (7, 11), 3, "a:1"),
        datagrams.SharedLoads(bytes(range(8))),
        datagrams.LeaseReleased("turn"),
        datagrams.KnownOverride("bans", (6, 2), False, "b:1"),
    ]
    assert [datagrams.encode(m).hex() for m in messages] == found["fleet"]


@pytest.mark.parametrize("name", sorted(p.name for p in (RECORDED / "experiments").glob("*.toml")))
def test_experiments_of_that_version_are_read(name: str) -> None:
    assert spec.points(RECORDED / "experiments" / name, {})


@pytest.mark.parametrize("name", sorted(p.name for p in (RECORDED / "scenes").glob("*.toml")))
def test_scenes_of_that_version_are_read(name: str) -> None:
    assert scene_spec.load(RECORDED / "scenes" / name)


def test_results_of_that_version_are_read() -> None:
    assert lab_record.read_summary(RECORDED / "lab" / "results")["policy"] == "glenrock"
    header, table = lab_record.read_table(RECORDED / "lab" / "results" / "series.csv")
    assert header[0] == "second" and len(table)
