"""A new version beside the old one: the listening socket that both hold, and what both must agree on."""
