"""Where servers should work: loads, as parts of their capacity, that several decisions go by."""

from __future__ import annotations

TARGET_LOAD = 0.72  # of all servers: messages are late well before all cores are full
HIGH_LOAD = 0.86  # above this the cap and the weights are cut
SLOW_CAPACITY_RATIO = 0.6  # with no more than this part of its usual capacity a server is slow
