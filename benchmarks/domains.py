"""Time to be sure of a cut link against false alarms, for several stated rates (glenrock/routing/failure_domains.py).

A zone of 6 instances, each asked evenly. Sound: each answer fails by itself with SOUND_FAILS, and one member is
dead for good (the hardest sound zone). Cut: all fail. Figures are per balancer.
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
        dead = cut or member == "u" or rng.random() < domains.SOUND_FAILS
        d.record("b", member, not dead)
        if d.evaluate(round(now * 1e6)):
            return now
    return None


def main() -> None:
    rng = random.Random(5)
    print("stated false alarms   asks/s   alarms an hour of a sound zone   sure of a cut after, mean s   p95 s")
    for stated in (0.05, 0.005, 0.0005, 0.00005):
        domains.FALSE_ALARM = stated
        domains.BOUND = domains.log((1 - domains.MISSED) / stated)
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
