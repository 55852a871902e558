"""Real balancer processes among stand-ins of session servers, discovery and clients, and a judge outside of them.

Everything runs on loopback. Balancers are judged by what the stand-ins saw, never by the program's own word.
"""
