"""Tests of `glenrock.routing`, one module for each subject, which use the harness of tests/conftest.py.

A test module that covers one module of the package is named after it. `test_random_events` and `test_many_balancers`
test whole balancers. `scenarios` contains the set-ups and helpers that several test modules share.
"""
