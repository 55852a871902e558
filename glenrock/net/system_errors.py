"""Classifies socket errors: those of this machine, of one connection, or of the remote end.

| errno | call | meaning | reaction |
| --- | --- | --- | --- |
| EMFILE, ENFILE, ENOBUFS, ENOMEM | accept | no local resources | accepting pauses, an idle connection is closed |
| ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, ... | accept | the connection has ended | the next one is accepted |
| EMFILE, ENFILE, ENOBUFS, ENOMEM | socket, connect | no local resources | retried within the attempt |
| EADDRNOTAVAIL, EAGAIN | connect | no local port is free | retried within the attempt |
| ENETUNREACH, ENETDOWN, EPERM, EACCES | connect | no route from this machine | retried within the attempt |
| EINTR | all | interrupted by a signal | the call is repeated |
| ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH | connect | refused or unreachable | counts as no connection |
| ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH | read, write | the connection failed | that connection is closed |
| ENOBUFS, EPERM, ECONNREFUSED, ... | sendto | the datagram is lost | logged |

Source: accept(2), socket(2), connect(2), tcp(7), ip(7) of Linux.
"""

from __future__ import annotations

import errno

EXHAUSTION_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""Errors that mean that a resource of this process or machine is exhausted."""

ABORTED_BEFORE_ACCEPT_ERRNOS = frozenset(
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
"""Errors of a connection that ended in the accept queue. accept(2) says to treat them like EAGAIN."""

LOCAL_CONNECT_ERRNOS = EXHAUSTION_ERRNOS | {
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EPERM,
    errno.EACCES,
    errno.EINTR,
}
"""Errors of a connect that are caused by this machine, and so say nothing about the server."""


def is_resource_exhausted(error: OSError) -> bool:
    """Returns whether the error means that a resource of this process or machine is exhausted."""
    return error.errno in EXHAUSTION_ERRNOS


def was_aborted_before_accept(error: OSError) -> bool:
    """Returns whether accept failed because the connection at the head of the queue had already ended."""
    return error.errno in ABORTED_BEFORE_ACCEPT_ERRNOS


def is_local_connect_error(error: OSError) -> bool:
    """Returns whether a connect failed because of this machine, and not because of the server."""
    return error.errno in LOCAL_CONNECT_ERRNOS
