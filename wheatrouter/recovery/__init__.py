"""Recovery under overlapping faults: what is believed of failure domains, and the way back.

Pure: no I/O, no clock, no randomness. `rules.py` tells what it sees, asks, and is the only one that acts.
May import the standard library alone.
"""
