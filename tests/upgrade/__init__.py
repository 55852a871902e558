"""Tests of upgrades: the shared files and sockets, and whole upgrades with real processes."""
