"""What a start uses from earlier incarnations, and the delay of a start after crashes. See docs/notes/cold-start.md."""
