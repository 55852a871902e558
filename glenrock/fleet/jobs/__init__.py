"""What is done for the whole fleet: `board` (servers out by hand, everywhere), `words` (one probes, all hear). Pure."""
