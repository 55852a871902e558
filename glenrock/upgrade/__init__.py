"""A new version beside the old one.

Both processes of an upgrade hold the clients' listening socket, agree on which servers operators took out of rotation,
count descriptors under one limit, and hand standing relays over.
"""
