"""The network side: sockets, lines and actors. Decides nothing."""
