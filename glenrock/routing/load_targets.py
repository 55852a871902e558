"""Target loads and load thresholds that several modules share, as fractions of capacity."""

from __future__ import annotations

TARGET_LOAD = 0.72  # mean load of the fleet; messages miss their objective well before all cores are busy
HIGH_LOAD = 0.86  # above this load the load cap and the weights of servers are cut
SLOW_CAPACITY_RATIO = 0.6  # a server with at most this fraction of its usual capacity is slow
