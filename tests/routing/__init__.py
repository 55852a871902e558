"""Tests of `glenrock.routing`: one module for each subject, driven by the harness of tests/conftest.py.

`scenarios` has the states and helpers that several modules share. Module names are those of the package where a module
tests one of its modules; `test_random_events` and `test_many_balancers` test whole balancers.
"""
