"""Replication of overrides, without a store's service."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from glenrock.coordination.override_replication import OverrideReplication
from glenrock.coordination.shared_work.override_log import OverrideEntry, OverrideLog
from glenrock.coordination.shared_work.revision import Revision


def context_with(overrides: OverrideLog) -> SimpleNamespace:
    """Returns the parts of a context that the replication uses."""
    transport = SimpleNamespace(after_batch=[], register=lambda kind, handler: None)
    return SimpleNamespace(
        overrides=overrides, transport=transport, leases=SimpleNamespace(event_listeners=[]), merged_changes={}
    )


def test_stored_override_without_effect_is_applied_at_the_next_start() -> None:
    applied = []

    async def call(server: str, out: bool) -> None:
        applied.append((server, out))

    tasks: list = []
    shared = SimpleNamespace(suspended={"back", "alone"})
    override_sync = SimpleNamespace(overrides=shared, set_override=call)
    log = OverrideLog()
    log.merge_entry("back", OverrideEntry(False, Revision(1, 1)))
    log.merge_entry("out", OverrideEntry(True, Revision(1, 2)))
    log.merge_entry("never", OverrideEntry(False, Revision(1, 3)))
    context = context_with(log)
    context.tasks = SimpleNamespace(run=tasks.append)
    context.host = SimpleNamespace(operators=SimpleNamespace(override_sync=override_sync))
    OverrideReplication(context).start()
    asyncio.run(tasks.pop(0))
    for t in tasks:
        t.close()
    assert sorted(applied) == [("back", False), ("out", True)], (
        "a server suspended at this balancer only is not changed"
    )


def test_pending_override_is_reposted_in_order_until_committed(monkeypatch) -> None:
    monkeypatch.setattr("glenrock.coordination.override_replication.REPOST_INTERVAL_S", 0.3)
    posts: list[str] = []

    async def post(job: str, id_: str, value: str) -> None:
        posts.append(id_)

    async def work() -> None:
        context = context_with(OverrideLog())
        context.leases.store = SimpleNamespace(propose=post)
        replication = OverrideReplication(context)
        context.overrides.add_pending("n/1#1", "s", True)
        context.overrides.add_pending("n/1#2", "t", True)
        task = asyncio.create_task(replication._post_proposals())
        while len(posts) < 4:  # the store loses them
            await asyncio.sleep(0.05)
        context.overrides.record_committed("n/1", 2)
        before = len(posts)
        await asyncio.sleep(0.7)
        assert posts[:4] == ["n/1#1", "n/1#2"] * 2 and len(posts) == before
        task.cancel()

    asyncio.run(asyncio.wait_for(work(), 20))
