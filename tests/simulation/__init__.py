"""Tests of the simulation: small experiments built in code, recorded results, and results of queueing theory."""
