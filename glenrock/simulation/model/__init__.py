"""What is balanced: instances, clients, the front, the name-table feed, links, and balancers as processes.

Models, not measurements of real machines: each module says what it leaves out. Times are whole microseconds
unless a name says otherwise; work is microseconds on a standard core; load is work a second.
"""
