"""A drained balancer gets SIGTERM: it says PONG again, and the front sends it clients until it is gone."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2 import (
    BROKEN,
    HELD,
    HOST,
    Balancer,
    CaseError,
    Client,
    EndpointList,
    Platform,
    PushAgent,
    Record,
    SessionServer,
    config_of,
    has_trouble,
    run_case,
    settings_of,
    unused_port,
)

DRAIN_GRACE_S = 2.5
SAYS_NO_WITHIN_S = 4.0  # "4 s after the call, still saying yes breaks the rule"
SIGTERM_AFTER_DRAIN_S = 6.0
SIGKILL_AFTER_S = 1.8 + 0.7  # after SIGTERM: the longest deadline plus 0.7 s
PING_INTERVAL_S = 0.1  # "The front asks every 0.1 s"
SENDS_ON_S = 0.2  # "and sends new connections for 0.2 s more"
REQUEST_INTERVAL_S = 0.12


class Front:
    """Deals clients out to the balancers that say yes, and notices a no after `SENDS_ON_S`.

    Attributes:
        yes_s: when each balancer last answered PONG, by its name.
        clients: by the name of their balancer.
    """

    def __init__(self, record: Record, balancers: list[Balancer]) -> None:
        self.yes_s: dict[str, list[float]] = {balancer.name: [] for balancer in balancers}
        self.clients: dict[str, list[tuple[float, Client]]] = {balancer.name: [] for balancer in balancers}
        self._record = record
        self._balancers = balancers
        self._answers: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def ping(self) -> None:
        """Asks all balancers, until it is cancelled."""
        while True:
            for balancer in self._balancers:
                answer = await balancer.ping()
                at_s = self._record.now()
                if answer == "PONG":
                    self.yes_s[balancer.name].append(at_s)
                if answer != self._answers.get(balancer.name):
                    self._record.add("front", f"{balancer.name} answers PING: {answer}")
                self._answers[balancer.name] = answer
            await asyncio.sleep(PING_INTERVAL_S)

    async def deal(self) -> None:
        """Sends clients, until it is cancelled."""
        turn = 0
        while True:
            now_s = self._record.now()
            admitted = [
                balancer
                for balancer in self._balancers
                if self.yes_s[balancer.name] and now_s - self.yes_s[balancer.name][-1] < PING_INTERVAL_S + SENDS_ON_S
            ]
            if admitted:
                turn += 1
                self._send(admitted[turn % len(admitted)])
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def _send(self, balancer: Balancer) -> None:
        client = Client(self._record, "entry-lookup", 1800, life_s=20.0)
        self.clients[balancer.name].append((self._record.now(), client))
        task = asyncio.create_task(client.run(balancer.name, balancer.address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def play(record: Record, platform: Platform) -> int:
    """Plays the run, and returns whether the rule held."""
    servers = [SessionServer(f"s-{number}", record) for number in range(4)]
    for server in servers:
        await server.start()
    endpoints = EndpointList(servers)
    agent = PushAgent(endpoints, record)
    await agent.start()
    balancers = []
    for index in range(2):
        settings = settings_of(2, index, "push", DRAIN_GRACE_S)
        config = config_of(f"n{index}", f"{HOST}:{unused_port()}", agent.address, endpoints.whole(), settings)
        balancers.append(await platform.start(config, has_admin=True))
    for balancer in balancers:
        await balancer.wait_until_ready()
    front = Front(record, balancers)
    tasks = [asyncio.create_task(front.ping()), asyncio.create_task(front.deal())]
    await asyncio.sleep(3)

    drained = balancers[0]
    drain_s = record.add("operator", "drains", drained.name)
    status = await drained.call("POST", "/v1/balancer/drain")
    if status != 200:
        raise CaseError(f"the drain was answered {status}")
    await asyncio.sleep(drain_s + SIGTERM_AFTER_DRAIN_S - record.now())
    if has_trouble():
        platform.terminate(drained)
    await asyncio.sleep(SIGKILL_AFTER_S + 1)
    if has_trouble() and drained.is_running:
        raise CaseError("the drained balancer did not end")
    for task in tasks:
        task.cancel()
    return _judge(record, front, drained, drain_s)


def _judge(record: Record, front: Front, drained: Balancer, drain_s: float) -> int:
    late = [at_s for at_s in front.yes_s[drained.name] if at_s > drain_s + SAYS_NO_WITHIN_S]
    sent = [client for at_s, client in front.clients[drained.name] if at_s > drain_s + SAYS_NO_WITHIN_S]
    up = sum(client.answer.startswith("UP") for client in sent)
    moved = sum(client.has_moved for client in sent)
    refused = sum(client.answer.startswith("refused") for client in sent)
    record.add("case", f"PONG of {drained.name} later than 4 s after the drain call: {len(late)}")
    record.add("case", f"clients sent there then: {len(sent)}, of which UP {up}, moved {moved}, refused {refused}")
    return BROKEN if late else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
