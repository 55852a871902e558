"""After an outage of discovery a balancer calls it again up to 20 s later, and goes on using servers that drain."""

from __future__ import annotations

import asyncio
import os
import sys

from stand_ins import (
    BROKEN,
    HELD,
    TROUBLE,
    Balancer,
    Case,
    Client,
    Discovery,
    Server,
    build_fleet,
    open_clients,
    start_servers,
)

BALANCERS, SERVERS = 3, 14
DRAINS = (7, 4, 2)  # how many servers drain after each outage, about half of those that are left
STANDING = 20  # connections at each balancer that stay open
OUTAGE_S = float(os.environ.get("OUTAGE_S", "8"))
DRAIN_AFTER_S = 0.5  # from the return of discovery
TOLD_S = 6.0  # at the latest, after discovery had the change and could be reached
GRACE_S = 2.0 + 0.05  # drainGraceUs of oberland-live, and the 50 ms of the page on sockets
SERVED_S = 13.0  # from the drain to the stop
OPEN_INTERVAL_S = 0.12
CLASS = {"name": "level-watch", "effect": "safe", "targetUs": 500_000, "deadlineUs": 2_000_000, "worth": 1.0}
SETTINGS = {
    "registryMode": "ask",
    "classes": [CLASS],
    "domain": {"messageAimUs": [250_000]},
    "obligations": {
        "drainGraceUs": 2_000_000,
        "coldShare": 0.14,
        "coldUs": 23_000_000,
        "fallMultiple": 2.5,
        "overloadForUs": 1_000_000,
    },
}


async def open_steadily(case: Case, balancer: Balancer) -> None:
    """Opens a connection each `OPEN_INTERVAL_S`, and closes it a few seconds later, until cancelled."""
    clients: list[Client] = []
    while True:
        client = Client(case.record, balancer.port, CLASS["name"])
        if await client.open():
            clients.append(client)
        if len(clients) > STANDING:
            clients.pop(0).close()
        await asyncio.sleep(OPEN_INTERVAL_S)


async def play_round(case: Case, discovery: Discovery, draining: list[Server]) -> int:
    """Plays an outage of discovery, and a drain after it. Returns how many requests came too late."""
    record = case.record
    if TROUBLE:
        await discovery.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        await discovery.set_down(False)
    await asyncio.sleep(DRAIN_AFTER_S)
    drained_s = record.now_s()
    for server in draining:
        server.drains_since_s = drained_s
    names = [server.name for server in draining]
    kept = {server.name: server.connection_count() for server in draining}
    record.write("case", f"connections at the servers that begin to drain: {kept}")
    await discovery.set_status(names, "DRAINING")
    await asyncio.sleep(SERVED_S)
    cut = sum(server.stop() for server in draining)
    await discovery.set_status(names, "DELETED")
    late = [request for server in draining for request in server.opened_since(drained_s + TOLD_S + GRACE_S)]
    record.say(
        f"{', '.join(names)} drain: {len(late)} requests came more than {TOLD_S + GRACE_S} s later; "
        f"{cut} connections were still there, not moved, at the stop after {SERVED_S} s"
    )
    return len(late)


async def play(case: Case) -> int:
    """Plays the case. Returns the exit code."""
    servers, discovery = await start_servers(case, SERVERS)
    balancers = build_fleet(case, BALANCERS, discovery, **SETTINGS)
    for balancer in balancers:
        balancer.start()
    for balancer in balancers:
        await balancer.wait_ready()
    await asyncio.sleep(2.0)
    tasks = []
    for balancer in balancers:
        for client in await open_clients(case, balancer, STANDING, 0.02, CLASS["name"]):
            client.keep()
        tasks.append(asyncio.create_task(open_steadily(case, balancer)))
    late = 0
    for count in DRAINS:
        draining, servers = servers[:count], servers[count:]
        late += await play_round(case, discovery, draining)
        await asyncio.sleep(2.0)
    for task in tasks:
        task.cancel()
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(Case(__file__).run(play))
