"""Tests of the testbed: its parts, its invariants on written records, and whole runs on processes of the program."""
