"""Time to apply a first endpoint list: one change of the ring, compared with insertion point by point."""

from __future__ import annotations

import time
from bisect import bisect_left

from glenrock.routing import Balancer, interface
from glenrock.routing.hash_ring import ring_points
from glenrock.routing.state import stable_hash


def time_single_inserts(names: list[str]) -> float:
    """Returns the processor time in seconds to insert the points of one ring into a sorted list."""
    start_s = time.process_time()
    points: list[int] = []
    servers: list[str] = []
    for name in names:
        for point in ring_points(stable_hash(name)):
            index = bisect_left(points, point)
            points.insert(index, point)
            servers.insert(index, name)
    return time.process_time() - start_s


def time_endpoint_list(names: list[str]) -> float:
    """Returns the processor time in seconds in which a Balancer handles the list."""
    balancer = Balancer(
        interface.Settings(classes=(interface.RequestClass("r", 300_000, 1_000_000),), zone="a", cross_zone_cost=0.02),
        1,
    )
    rows = tuple(interface.Endpoint(name, interface.EndpointState.READY, "ab"[n % 2]) for n, name in enumerate(names))
    event = interface.EndpointList(interface.EndpointListKind.FULL, rows)
    start_s = time.process_time()
    balancer.handle(1_000_000, [event])
    return time.process_time() - start_s


def main() -> None:
    """Prints a table over the number of servers."""
    print("servers   one list, whole module   points inserted one by one (one ring)   ratio")
    for count in (500, 2000, 5000, 10_000):
        names = [f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80" for n in range(count)]
        list_s = min(time_endpoint_list(names) for _ in range(5))
        inserts_s = min(time_single_inserts(names) for _ in range(2))
        print(f"{count:7} {list_s * 1000:21.1f} ms {inserts_s * 1000:33.1f} ms {inserts_s / list_s:18.1f}")


if __name__ == "__main__":
    main()
