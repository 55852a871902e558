"""What a balancer knew before its start, kept where the operator's file says. docs/notes/cold-start.md says why so."""
