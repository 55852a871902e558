"""The balancer's network I/O: clients, servers, the endpoint list, and the other balancers.

All of it runs on one uvloop event loop in one thread. Actors exchange messages through bounded mailboxes, and each
socket is owned by one actor.
"""
