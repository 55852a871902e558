"""Set-ups out at a time, limited only while many fail or take long: at their store, which all servers call.

Danger: a mass return on a slow store fails everywhere, and each failure is tried again at once. What waits
in the store's line is given up there and asked for anew, so nothing comes up; and a rate set by what came up
starves the fleet for ten seconds. A window of set-ups out keeps a store busy, whatever it can do, and its
line short.
"""

from __future__ import annotations

from .records import Memory

S = 1_000_000  # microseconds in a second
NEVER_BINDS = float("inf")
LEAST = 1.0  # set-ups out
SLOW = 0.5  # of the shortest aim to be set up: one that took longer stood in a line
CUT, RISE = 0.7, 1.25  # of the window: at most once a second; a round in which it bound
CUT_APART_US = S  # what was out before a cut has ended by then, or nearly
SERVERS = 3  # one or two that are slow are their own trouble
STORM = 6  # failures in a round that are waited for no longer
IDLE_ROUNDS = 20  # in which the window did not bind: it is lifted
FADES = 0.98  # of the best rate seen, a round: half of it in some 17 s


def room(m: Memory) -> bool:
    return m.opening < m.window


def sent(m: Memory) -> None:
    m.opening += 1
    m.peak = max(m.peak, m.opening)


def up(m: Memory, server: str, took_us: int) -> None:
    """A set-up stands, so long after it was sent."""
    m.opening -= 1
    m.came_up += 1
    if took_us > SLOW * m.setup_aim_us:
        ill(m, server)
    else:
        m.well += 1


def failed(m: Memory, server: str, verdict: str) -> None:
    """A set-up ended otherwise. Refusals and dead servers say nothing of the store."""
    m.opening -= 1
    if verdict in ("error", "timeout"):
        ill(m, server)


def ill(m: Memory, server: str) -> None:
    m.ill += 1
    m.ill_at.add(server)
    if len(m.ill_at) >= SERVERS and m.ill > STORM + 2 * m.well:
        cut(m)


def cut(m: Memory) -> None:
    if m.now - m.window_at < CUT_APART_US:
        return
    # Little's law: with so many out a store that brings up the best rate seen answers within the wanted time.
    first = max(m.best, 1.0) * SLOW * m.setup_aim_us / S
    m.window = max(LEAST, CUT * (m.window if m.window < NEVER_BINDS else first))
    m.window_at, m.idle = m.now, 0


def learn(m: Memory, round_us: int) -> None:
    """Once a round: the window of the next one."""
    m.best = max(FADES * m.best, m.came_up * S / round_us)
    # Danger: a small window reaches few servers in a round. Raised while nothing came up, it kept the line of
    # a slow store as long as it was, and nothing came up for ever.
    if m.ill > m.well / 3 and (len(m.ill_at) >= SERVERS or m.window < NEVER_BINDS and m.ill > m.well):
        cut(m)
    elif m.window < NEVER_BINDS and m.peak >= m.window - 1:
        m.window, m.idle = m.window * RISE + 0.5 if m.well > m.ill else m.window, 0
    elif m.window < NEVER_BINDS:
        m.idle += 1
        m.window = m.window if m.idle < IDLE_ROUNDS else NEVER_BINDS
    m.ill = m.well = m.came_up = 0
    m.peak = m.opening
    m.ill_at.clear()
