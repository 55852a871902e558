"""CPU time to apply a first endpoint list: one change of the hash ring, compared with inserts point by point."""

from __future__ import annotations

import time
from bisect import bisect_left

from glenrock.routing import Balancer, interface
from glenrock.routing.hash_ring import ring_points
from glenrock.routing.state import stable_hash


def time_single_inserts(names: list[str]) -> float:
    """Returns the CPU time in seconds to insert the points of one hash ring into a sorted list, one by one."""
    start_cpu_s = time.process_time()
    points: list[int] = []
    servers: list[str] = []
    for name in names:
        for point in ring_points(stable_hash(name)):
            index = bisect_left(points, point)
            points.insert(index, point)
            servers.insert(index, name)
    return time.process_time() - start_cpu_s


def time_endpoint_list(names: list[str]) -> float:
    """Returns the CPU time in seconds in which a Balancer handles a full endpoint list of these servers."""
    balancer = Balancer(
        interface.Settings(classes=(interface.RequestClass("r", 300_000, 1_000_000),), zone="a", cross_zone_cost=0.02),
        1,
    )
    endpoints = tuple(
        interface.Endpoint(name, interface.EndpointState.READY, "ab"[n % 2]) for n, name in enumerate(names)
    )
    event = interface.EndpointList(interface.EndpointListKind.FULL, endpoints)
    start_cpu_s = time.process_time()
    balancer.handle(1_000_000, [event])
    return time.process_time() - start_cpu_s


def main() -> None:
    """Prints a table by number of servers."""
    print("servers   endpoint list, balancer   inserts point by point, one ring   ratio")
    for count in (500, 2000, 5000, 10_000):
        names = [f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80" for n in range(count)]
        list_s = min(time_endpoint_list(names) for _ in range(5))
        inserts_s = min(time_single_inserts(names) for _ in range(2))
        print(f"{count:7} {list_s * 1000:22.1f} ms {inserts_s * 1000:31.1f} ms {inserts_s / list_s:7.1f}")


if __name__ == "__main__":
    main()
