"""Leases for the jobs that one balancer does for all: terms from a store, and a fence at each receiver.

Pure: `candidate` (the election of one candidate for one job), `lease_manager` (all leases of a process), `fence` (the
receiver), and `model_checker`, which searches their reachable states. `store` is the interface of `sqlite_store` and
`consul_store`. Design: docs/notes/ownership.md. Terms as fencing tokens: Gray and Cheriton, Leases (SOSP 1989);
Burrows, Chubby (OSDI 2006), sequencers.
"""
