"""An upgrade without downtime: a new process starts beside the old one, which then hands its clients over.

Both processes hold the clients' listening socket, share the operators' overrides and one descriptor limit, and the old
process sends its established relays to the new one.
"""
