"""Leases for jobs that one balancer at a time does for all: a store grants terms, and receivers reject past terms.

`candidate` (the election of one candidate for one job), `lease_manager` (all leases of a process) and `fence` (the
receiver) do no I/O; `model_checker` searches their reachable states. `store` is the interface that `sqlite_store` and
`consul_store` implement. Design: docs/notes/ownership.md.

Terms serve as fencing tokens: Gray and Cheriton, Leases (SOSP 1989); Burrows, Chubby (OSDI 2006), sequencers.
"""
