"""Loads, as fractions of capacity, at which several decisions aim or act."""

from __future__ import annotations

TARGET_LOAD = 0.72  # of the fleet; messages are late well before all cores are busy
HIGH_LOAD = 0.86  # above it the cap and the weights are cut
SLOW_CAPACITY_RATIO = 0.6  # of its usual capacity; a server with no more is slow
