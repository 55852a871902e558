"""Time to be sure of a cut link against false alarms, for several stated rates (glenrock/routing/failure_domains.py).

A zone of 6 servers, each asked evenly. Healthy: each answer fails with HEALTHY_FAILURE_PROBABILITY, and one member is
dead for good (the hardest healthy zone). Partitioned: all fail. Figures are per balancer.
"""

from __future__ import annotations

import random

from glenrock.routing import failure_domains as domains
from glenrock.routing.failure_domains import FailureDomains

MEMBERS = "uvwxyz"


def played(rate: float, cut: bool, asks_a_s: float, seconds: float, rng: random.Random) -> float | None:
    """Seconds until it is believed cut, or None."""
    d, now = FailureDomains(), 0.0
    while now < seconds:
        now += rng.expovariate(asks_a_s)
        member = rng.choice(MEMBERS)
        dead = cut or member == "u" or rng.random() < domains.HEALTHY_FAILURE_PROBABILITY
        d.record("b", member, not dead)
        if d.evaluate(round(now * 1e6)):
            return now
    return None


def main() -> None:
    rng = random.Random(5)
    print("stated false alarms   asks/s   alarms an hour of a sound zone   sure of a cut after, mean s   p95 s")
    for stated in (0.05, 0.005, 0.0005, 0.00005):
        domains.FALSE_ALARM_RATE = stated
        domains.PARTITION_BOUND = domains.log((1 - domains.MISSED_RATE) / stated)
        for rate in (5.0, 20.0):
            hours, alarms = 0.0, 0
            for _ in range(40):
                at = played(rate, False, rate, 180.0, rng)
                hours += (at or 180.0) / 3600
                alarms += at is not None
            sure = sorted(played(rate, True, rate, 60.0, rng) or 60.0 for _ in range(400))
            print(f"{stated:19g} {rate:8g} {alarms / hours:32.1f} {sum(sure) / len(sure):28.2f} {sure[380]:7.2f}")


if __name__ == "__main__":
    main()
