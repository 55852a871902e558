"""One lease holder at a time for work that concerns all balancers: terms from a store, fences at every receiver.

Pure: `candidate` (who may act, and until when), `lease_manager`, `fence` (what a receiver takes), and `model_checker`,
    which goes through all that can happen to them. With I/O: `sqlite_store`, `consul_store`. Design:
    docs/notes/ownership.md. The idea of terms as fencing tokens: Gray and Cheriton, Leases (SOSP 1989); Burrows, Chubby
    (OSDI 2006), sequencers.
"""
