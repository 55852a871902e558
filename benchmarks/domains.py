"""Partition detection: detection time and measured false alarms for several target false alarm probabilities.

Measures glenrock/routing/failure_domains.py on a zone of 6 servers, each of which is checked equally often. In the
healthy zone, each check fails with HEALTHY_FAILURE_PROBABILITY, and one server is dead, which is the healthy state most
likely to raise a false alarm. In the partitioned zone, all checks fail. Figures are per balancer.
"""

from __future__ import annotations

import math
import random

from glenrock.routing import failure_domains as domains
from glenrock.routing.failure_domains import FailureDomains

SERVER_IDS = "uvwxyz"
DEAD_SERVER = "u"  # in the healthy zone
HEALTHY_RUNS, HEALTHY_SECONDS = 40, 180.0
PARTITIONED_RUNS, PARTITIONED_SECONDS = 400, 60.0
PERCENTILE_95_INDEX = 380  # in the sorted detection times of the partitioned runs


def detection_time(is_partitioned: bool, checks_per_s: float, seconds: float, rng: random.Random) -> float | None:
    """Returns the time in seconds until a partition is detected; None if none is detected within `seconds`."""
    failure_domains, now_s = FailureDomains(), 0.0
    while now_s < seconds:
        now_s += rng.expovariate(checks_per_s)
        server_id = rng.choice(SERVER_IDS)
        has_failed = is_partitioned or server_id == DEAD_SERVER or rng.random() < domains.HEALTHY_FAILURE_PROBABILITY
        failure_domains.record("b", server_id, not has_failed)
        if failure_domains.evaluate(round(now_s * 1e6)):
            return now_s
    return None


def main() -> None:
    """Prints a table by target false alarm probability and rate of health checks."""
    rng = random.Random(5)
    print("false alarm target   checks/s   false alarms per hour   mean detection, s   p95, s")
    for false_alarm_target in (0.05, 0.005, 0.0005, 0.00005):
        domains.FALSE_ALARM_RATE = false_alarm_target
        domains.PARTITION_THRESHOLD = math.log((1 - domains.MISSED_DETECTION_RATE) / false_alarm_target)
        for checks_per_s in (5.0, 20.0):
            healthy_hours, false_alarms = 0.0, 0
            for _ in range(HEALTHY_RUNS):
                alarm_s = detection_time(False, checks_per_s, HEALTHY_SECONDS, rng)
                healthy_hours += (alarm_s or HEALTHY_SECONDS) / 3600
                false_alarms += alarm_s is not None
            detection_times_s = sorted(
                detection_time(True, checks_per_s, PARTITIONED_SECONDS, rng) or PARTITIONED_SECONDS
                for _ in range(PARTITIONED_RUNS)
            )
            mean_s = sum(detection_times_s) / len(detection_times_s)
            p95_s = detection_times_s[PERCENTILE_95_INDEX]
            print(
                f"{false_alarm_target:18g} {checks_per_s:10g} {false_alarms / healthy_hours:23.1f} {mean_s:19.2f}"
                f" {p95_s:8.2f}"
            )


if __name__ == "__main__":
    main()
