"""What a balancer knew before its start, kept where the operator's file says. Why: docs/notes/cold-start.md."""
