"""What a failed system call says: of this machine, of one connection, or of the other end.

| errno | where | meaning | what is done |
| --- | --- | --- | --- |
| EMFILE, ENFILE, ENOBUFS, ENOMEM | accept | this machine is short | room is made, accepting rests 20 ms |
| ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, ... | accept | the connection is gone | the next one is accepted |
| EMFILE, ENFILE, ENOBUFS, ENOMEM | socket, connect | this machine is short | tried again within the attempt |
| EADDRNOTAVAIL, EAGAIN | connect | no local port is free | tried again within the attempt |
| ENETUNREACH, ENETDOWN, EPERM, EACCES | connect | no way there from here | tried again within the attempt |
| EINTR | all | a signal came | the call is made again |
| ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH | connect | the other end | counts as no connection |
| ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH | read, write | the connection is gone | ends it, and only it |
| ENOBUFS, EPERM, ECONNREFUSED, ... | sendto | a datagram is lost | told in the log, nothing else |

Source: accept(2), socket(2), connect(2), tcp(7), ip(7) of Linux.
"""

from __future__ import annotations

import errno

SHORTAGE = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""This process or machine has no more of something."""

GONE_BEFORE_ACCEPT = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EINTR,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
    )
)
"""Errors of a connection that was never taken; accept(2) says to treat them like EAGAIN and go on."""

LOCAL = SHORTAGE | {
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EPERM,
    errno.EACCES,
    errno.EINTR,
}
"""What keeps a connection from being tried at all: it says nothing of the server."""


def is_shortage(error: OSError) -> bool:
    """Whether this process or machine has run out of something."""
    return error.errno in SHORTAGE


def is_gone_before_accept(error: OSError) -> bool:
    """Whether the connection at the head of the queue was gone already."""
    return error.errno in GONE_BEFORE_ACCEPT


def is_local(error: OSError) -> bool:
    """Whether a failed attempt to connect is this machine's own fault."""
    return error.errno in LOCAL
