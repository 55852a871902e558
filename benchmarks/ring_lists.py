"""A first list of servers: the ring's one change against inserting point by point, in one run."""

from __future__ import annotations

import time
from bisect import bisect_left

from glenrock.routing import Balancer, interface
from glenrock.routing.hash_ring import ring_points
from glenrock.routing.state import stable_hash


def point_by_point(names: list[str]) -> float:
    begun = time.process_time()
    there: list[int] = []
    servers: list[str] = []
    for name in names:
        for point in ring_points(stable_hash(name)):
            at = bisect_left(there, point)
            there.insert(at, point)
            servers.insert(at, name)
    return time.process_time() - begun


def as_a_list(names: list[str]) -> float:
    balancer = Balancer(
        interface.Settings(classes=(interface.RequestClass("r", 300_000, 1_000_000),), zone="a", cross_zone_cost=0.02),
        1,
    )
    rows = tuple(interface.Endpoint(n, "ready", "ab"[k % 2]) for k, n in enumerate(names))
    told = interface.EndpointList("full", rows)
    begun = time.process_time()
    balancer.handle(1_000_000, [told])
    return time.process_time() - begun


def main() -> None:
    print("servers   one list, whole module   points inserted one by one (one ring)   ratio")
    for count in (500, 2000, 5000, 10_000):
        names = [f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80" for n in range(count)]
        ours = min(as_a_list(names) for _ in range(5))
        plain = min(point_by_point(names) for _ in range(2))
        print(f"{count:7} {ours * 1000:21.1f} ms {plain * 1000:33.1f} ms {plain / ours:18.1f}")


if __name__ == "__main__":
    main()
