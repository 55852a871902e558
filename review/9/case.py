"""Discovery is slow, and answers each call within 0.6 s: the balancers give up every answer and miss a drain."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2 import (
    BROKEN,
    HELD,
    HOST,
    PROTOCOL_SLACK_S,
    CaseError,
    EndpointList,
    Load,
    Platform,
    Record,
    SessionServer,
    SharedDiscovery,
    config_of,
    has_trouble,
    run_case,
    settings_of,
    unused_port,
)

BALANCERS = 2  # "1 to 2 balancers"
DRAIN_GRACE_S = 2.0
TOLD_AFTER_S = 6.0  # "told at the latest 6 s after discovery had it and could be reached"
CALL_S = 0.17  # capacity = [2.9, 6] calls a second
CALL_TIMEOUT_S = 2.0  # timeout_ms = 2000
PAUSE_S = 0.6
REQUEST_INTERVAL_S = 0.08
SLOW_AFTER_CHANGE_S = 12.0


async def play(record: Record, platform: Platform) -> int:
    """Plays the run, and returns whether the rule held."""
    servers = [SessionServer(f"s-{number}", record) for number in range(4)]
    for server in servers:
        await server.start()
    endpoints = EndpointList(servers)
    discovery = SharedDiscovery(endpoints, record, CALL_S, CALL_TIMEOUT_S)
    balancers = []
    for number in range(BALANCERS):
        settings = settings_of(BALANCERS, number, "ask", DRAIN_GRACE_S)
        address = await discovery.listen(number)
        config = config_of(f"n{number}", f"{HOST}:{unused_port()}", address, endpoints.whole(), settings)
        balancers.append(await platform.start(config))
    for balancer in balancers:
        await balancer.wait_until_ready()
    load = Load(record, balancers, REQUEST_INTERVAL_S)
    sending = asyncio.create_task(load.run())
    await asyncio.sleep(3)
    if has_trouble():
        discovery.pause_s = PAUSE_S
        record.add("discovery", f"answers in two pieces from now on, {PAUSE_S} s apart")
    await asyncio.sleep(2)
    draining = servers[1]
    await endpoints.change(draining, "DRAINING")
    drained_s = record.add("discovery", draining.name, "drains")
    await asyncio.sleep(SLOW_AFTER_CHANGE_S)
    discovery.pause_s = 0.0
    record.add("discovery", "answers in one piece again")
    await asyncio.sleep(3)
    sending.cancel()
    if not all(balancer.is_running for balancer in balancers):
        raise CaseError("a balancer has ended")
    if discovery.rejections:
        raise CaseError("discovery was overloaded: it rejected a call")
    return _judge(record, draining, load, drained_s)


def _judge(record: Record, draining: SessionServer, load: Load, drained_s: float) -> int:
    answers = [client.answer for client in load.clients if client.answer]
    up = sum(answer.startswith("UP") for answer in answers)
    record.add("case", f"requests answered: {len(answers)}, UP: {up}")
    if up < len(answers) / 2:
        raise CaseError("most requests were not served")
    limit_s = TOLD_AFTER_S + DRAIN_GRACE_S + PROTOCOL_SLACK_S
    times = [at_s - drained_s for at_s, _ in draining.opens if at_s > drained_s]
    late = [time_s for time_s in times if time_s > limit_s]
    record.add(
        "case", f"sends to {draining.name} after the change: {len(times)}, the last after {max(times, default=0):.2f} s"
    )
    record.add("case", f"sends later than {limit_s:.2f} s after the change: {len(late)}")
    return BROKEN if late else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
