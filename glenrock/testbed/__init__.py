"""Balancer processes among stand-ins for session servers, discovery, clients and the store, under faults.

Everything runs on loopback. Invariants are checked on what the stand-ins saw, never on a balancer's own statement.
"""
