"""The model of the fleet: servers, balancer processes, clients, the front end, service discovery and links.

Each module states what its model leaves out. Times are in microseconds unless a name has another unit, work is in
microseconds on a standard core, and load is work per second.
"""
