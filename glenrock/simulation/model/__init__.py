"""The modelled fleet: servers, balancers' processes, clients, the front, service discovery, and links.

Each module says what its model leaves out. Times are whole microseconds unless a name has another unit; work is
microseconds on a standard core; load is work a second.
"""
