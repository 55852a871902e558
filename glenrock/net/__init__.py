"""The balancer on real sockets: clients, servers, the endpoint list, and the other balancers.

One process, one thread, one uvloop loop. Actors exchange messages through bounded mailboxes; each socket has one owner.
"""
