"""One owner at a time for work that concerns the whole fleet: terms from a store, fences at every receiver.

Pure: `claim` (who may act, and until when), `fence` (what a receiver takes), and `explore`, which goes through all that
can happen to them. I/O: `sqlite_store`. Note: docs/notes/ownership.md.
"""
