"""Tests of the simulation: small experiments built in code, recorded results, and figures of queueing theory."""
