"""Time to detect a partition against false alarms, for several stated rates (glenrock/routing/failure_domains.py).

A zone of 6 servers, each checked equally often. Healthy: each check fails with HEALTHY_FAILURE_PROBABILITY, and one
server is dead (the hardest healthy zone). Partitioned: all checks fail. Figures are per balancer.
"""

from __future__ import annotations

import math
import random

from glenrock.routing import failure_domains as domains
from glenrock.routing.failure_domains import FailureDomains

MEMBERS = "uvwxyz"
HEALTHY_RUNS, HEALTHY_SECONDS = 40, 180.0
PARTITIONED_RUNS, PARTITIONED_SECONDS = 400, 60.0
PERCENTILE_95 = 380  # index in the sorted results of the partitioned runs


def detection_time(is_partitioned: bool, checks_per_s: float, seconds: float, rng: random.Random) -> float | None:
    """Returns the seconds until a partition is detected; None if none is."""
    failure_domains, now_s = FailureDomains(), 0.0
    while now_s < seconds:
        now_s += rng.expovariate(checks_per_s)
        member = rng.choice(MEMBERS)
        has_failed = is_partitioned or member == "u" or rng.random() < domains.HEALTHY_FAILURE_PROBABILITY
        failure_domains.record("b", member, not has_failed)
        if failure_domains.evaluate(round(now_s * 1e6)):
            return now_s
    return None


def main() -> None:
    """Prints a table over the stated false alarm rate and the rate of checks."""
    rng = random.Random(5)
    print("stated false alarms   checks/s   alarms an hour, healthy   detection, mean s   p95 s")
    for stated in (0.05, 0.005, 0.0005, 0.00005):
        domains.FALSE_ALARM_RATE = stated
        domains.PARTITION_THRESHOLD = math.log((1 - domains.MISSED_DETECTION_RATE) / stated)
        for rate in (5.0, 20.0):
            hours, alarms = 0.0, 0
            for _ in range(HEALTHY_RUNS):
                alarm_s = detection_time(False, rate, HEALTHY_SECONDS, rng)
                hours += (alarm_s or HEALTHY_SECONDS) / 3600
                alarms += alarm_s is not None
            detected_s = sorted(
                detection_time(True, rate, PARTITIONED_SECONDS, rng) or PARTITIONED_SECONDS
                for _ in range(PARTITIONED_RUNS)
            )
            mean_s = sum(detected_s) / len(detected_s)
            print(f"{stated:19g} {rate:10g} {alarms / hours:25.1f} {mean_s:19.2f} {detected_s[PERCENTILE_95]:7.2f}")


if __name__ == "__main__":
    main()
