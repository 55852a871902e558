"""The data that a start uses from earlier incarnations, and the start backoff. See docs/notes/cold-start.md."""
