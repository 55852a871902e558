"""What balancers do together. Nothing here is loaded by the program that serves."""
