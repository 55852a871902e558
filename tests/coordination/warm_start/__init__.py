"""Tests of warm starts: the start cache, the start backoff, and the report of a start."""
