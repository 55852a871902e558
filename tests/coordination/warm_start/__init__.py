"""Tests of the start cache, the start backoff, and the milestones and the report of a start."""
