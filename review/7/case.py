"""An upgrade while discovery is silent: the new process sends to a session server that the old one was told drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2 import (
    BROKEN,
    HELD,
    PROTOCOL_SLACK_S,
    CaseError,
    Client,
    EndpointList,
    Platform,
    PushAgent,
    Record,
    SessionServer,
    config_of,
    has_trouble,
    listen_for_clients,
    run_case,
    settings_of,
)

DRAIN_GRACE_S = 2.5
BINDS_AFTER_YES_S = 2.0  # "What discovery tells binds 2 s after the yes"
OUTAGE_S = 8.0  # "discovery is down for 8 s, into the start of a release"
REQUEST_INTERVAL_S = 0.1
DRAINING_NAME = "s-1"


async def play(record: Record, platform: Platform) -> int:
    """Plays the run, and returns whether the rule held."""
    servers = [SessionServer(f"s-{number}", record) for number in range(4)]
    for server in servers:
        await server.start()
    endpoints = EndpointList(servers)
    agent = PushAgent(endpoints, record)
    await agent.start()
    listen = listen_for_clients()
    config = config_of("n0", listen, agent.address, endpoints.whole(), settings_of(1, 0, "push", DRAIN_GRACE_S))
    shared_folder = platform.folder / "shared"

    old = await platform.start(config, has_admin=True, inherits_listener=True, shared_folder=shared_folder)
    await old.wait_until_ready()
    clients: list[Client] = []
    load = asyncio.create_task(_send_requests(record, listen, clients))
    await asyncio.sleep(2)

    draining = servers[1]
    await endpoints.change(draining, "DRAINING")
    record.add("discovery", draining.name, "drains")
    await asyncio.sleep(DRAIN_GRACE_S + 1)
    told_s = agent.told_s.get(DRAINING_NAME)
    if told_s is None:
        raise CaseError("the old process was not told of the drain")
    if has_trouble():
        await agent.set_down(True)
    down_s = record.now()
    new = await platform.start(config, has_admin=True, inherits_listener=True, shared_folder=shared_folder)
    await new.wait_until_ready()
    yes_s = record.add("platform", "the new process says yes")
    platform.terminate(old)
    await asyncio.sleep(down_s + OUTAGE_S - record.now())
    if has_trouble():
        await agent.set_down(False)
    await asyncio.sleep(3)
    load.cancel()
    if old.is_running or not new.is_running:
        raise CaseError("the old process still runs, or the new one has ended")
    return _judge(record, draining, clients, told_s, yes_s)


async def _send_requests(record: Record, listen: str, clients: list[Client]) -> None:
    tasks = set()
    while True:
        client = Client(record, "entry-lookup", 1800, life_s=3.0)
        clients.append(client)
        tasks.add(asyncio.create_task(client.run("n0", listen)))
        await asyncio.sleep(REQUEST_INTERVAL_S)


def _judge(record: Record, draining: SessionServer, clients: list[Client], told_s: float, yes_s: float) -> int:
    answers = [client.answer for client in clients if client.answer]
    record.add("case", f"requests answered: {len(answers)}, UP: {sum(answer.startswith('UP') for answer in answers)}")
    if sum(answer.startswith("UP") for answer in answers) < len(answers) / 2:
        raise CaseError("most requests were not served")
    grace_s = DRAIN_GRACE_S + PROTOCOL_SLACK_S
    limit_s = max(told_s, yes_s + BINDS_AFTER_YES_S) + grace_s
    by_old = [at_s for at_s, _ in draining.opens if told_s + grace_s < at_s < yes_s]
    late = [at_s for at_s, _ in draining.opens if at_s > limit_s]
    record.add(
        "case", f"told at {told_s:.2f}, yes at {yes_s:.2f}: sends to {draining.name} have to end by {limit_s:.2f}"
    )
    record.add("case", f"sends by the old process after its grace: {len(by_old)}")
    record.add("case", f"sends after the limit: {len(late)}", *(f"{at_s:.2f}" for at_s in late))
    return BROKEN if late else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
