"""Tests of leases: the election, the fence, the stores, and the model checker."""
