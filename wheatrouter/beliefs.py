"""What a balancer believes of a server's load: its reports, word of slow messages, what changed since. Pure.

A report tells of the past: it is refreshed now and then, and delivered late. What was sent since is in none
yet, and what has left since is in it still. Where messages are late their waits tell of the present.
"""

from __future__ import annotations

from . import interface as io
from .estimates import FEW
from .records import NOTES_APART_US, Memory, Server

S = 1_000_000  # microseconds in a second
FEEDBACK_US = 2 * S  # one cut per feedback delay: load reports may be refreshed and delivered this late
REPORT_AGE_US = FEEDBACK_US // 2  # and are so old on average
FRESH_US = 1 * S  # a load report counts as the present this long
KNOWN_US = 10 * S  # and is better than the fleet's mean this long
NOTE_US = 3 * S // 2  # word of slow messages comes once a second
PAST_US = 4 * S  # own load at a server is kept this long: longer than reports are late
BUSY, LATE = 0.82, 1.1  # what slow messages say of a server; one whose messages are late has at least this
QUIET = 0.58  # what silence says where there are no reports: room enough for the cap to rise
LEAST, MOST = 0.3, 3.0  # loads that the growth of a wait may say: beyond these it is chance


def reports(settings: io.Settings) -> bool:
    """Whether probes tell of load at all."""
    return settings.may_probe and (io.LOAD_RATIO in settings.reports or io.UTILIZATION in settings.reports)


def mine(s: Server) -> float:
    return sum(f.load for f in s.held.values())


def remember(m: Memory) -> None:
    """Once a round: what stands where, for reports that tell of now later."""
    for s in m.servers.values():
        s.past = [x for x in s.past if m.now - x[0] < PAST_US]
        s.past.append((m.now, mine(s)))


def reported(m: Memory, s: Server, load: float) -> None:
    """A load as a report tells it, a part of capacity."""
    s.load, s.load_at = load, m.now
    oldest = s.past[0][1] if s.past else 0.0
    s.then = next((x for at, x in reversed(s.past) if m.now - at >= REPORT_AGE_US), oldest)
    # Danger: with all that was sent before the report taken off, a server looks empty for the second that
    # reports are old, and each newcomer of that second goes there.
    s.sends = [x for x in s.sends if m.now - x[0] < REPORT_AGE_US]
    s.placed = sum(load for _, load in s.sends)


def noted(m: Memory, s: Server, wait_us: float, aim_us: int) -> bool:
    """Word of how long a message takes there. True if it is past its aim."""
    if wait_us > aim_us / 3:
        s.noted_at = m.now
    if not s.notes or m.now - s.notes[-1][0] >= NOTES_APART_US:
        s.notes = [x for x in s.notes[-1:] if m.now - x[0] <= FEEDBACK_US + NOTES_APART_US]
        s.notes.append((m.now, wait_us / S, mine(s)))
    if wait_us >= aim_us:
        s.late_at = m.now
    return wait_us >= aim_us


def late(m: Memory, s: Server) -> bool:
    return m.now - s.late_at < NOTE_US


def slow(m: Memory, s: Server) -> bool:
    """Whether it told of slow messages while a probe was out: no answer then tells of load."""
    return bool(s.held) and m.now - s.noted_at < NOTE_US


def heard(m: Memory, s: Server) -> bool:
    """Whether it said anything lately: a probe left unanswered is no proof then that it is out of reach."""
    return m.now - s.heard_at < NOTE_US


def from_waits(s: Server) -> float:
    """The load of a server whose messages are late, from how fast their wait grows.

    Danger: reports of the time before have the same excess sent away twice; and one that only works off what
    is piled up looked as loaded as one that goes on piling up, and was emptied for it.
    """
    at, wait, held = s.notes[-1]
    grows = wait  # before the first word there was no wait worth telling, a second ago
    if len(s.notes) > 1:
        then, before, held_then = s.notes[0]
        grows, held = (wait - before) * S / (at - then), (held + held_then) / 2
    left = min(1.0, mine(s) / held) if held > 0 and len(s.held) >= FEW else 1.0
    return min(MOST, max(LEAST, 1 + grows)) * left + wait * S / FEEDBACK_US


def belief(m: Memory, settings: io.Settings, s: Server) -> float:
    """The load of a server as known now: from late messages, else the last report, else the fleet's."""
    age = m.now - s.load_at
    load = s.load if s.load >= 0 and age < KNOWN_US else min(m.fleet, 1.0)
    if late(m, s) and s.notes and s.late_at > s.load_at - REPORT_AGE_US:
        return from_waits(s)
    if age < FRESH_US:
        return load
    if m.now - s.noted_at < NOTE_US:
        return max(load, BUSY)
    # Danger: only servers in trouble are asked again, and their old reports would hold the cap down.
    # One that holds our connections and sends no word of slow messages is not busy.
    return min(load, BUSY if reports(settings) else QUIET) if s.held and settings.tells_delay else load


def left(m: Memory, s: Server) -> float:
    """The part of our load there that has not left since its last report. The others shed as we do.

    Danger: of a hundred connections a balancer of many holds two; one that ends says nothing of the rest.
    """
    here = mine(s)
    tells = len(s.held) >= FEW and m.now - s.load_at < KNOWN_US and not late(m, s)
    return here / s.then if tells and s.then > here else 1.0
