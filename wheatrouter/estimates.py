"""What a balancer makes of the load and the capacity of the servers: figures that rules.py decides by."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .records import Memory, Server

CAN_GAIN, USUAL_GAIN = 0.4, 0.04  # per round, of what a server is seen to do: now, and usually
USUAL_LEAST = 0.15  # of what the servers usually do, on average
MEAN_GAIN = 0.02  # of a load told, in the mean load of a connection; a plain mean of the first ones
FEW = 5  # connections of ours at a server that say something of what it can do
GUESS = 1.0  # the mean load is guessed no higher than this when servers are lost
STEADY = 0.67  # of the most that this balancer carried lately: no less, and its part of the tier is steady
STEADY_US = 4_000_000  # lately
BACK_US = 1_000_000  # clients of servers that are lost come to the others within this


def mean(m: Memory, seen: Sequence[tuple[Server, float]], active: float) -> float:
    """The load of the servers together, where the whole tier has `active` load.

    Danger: a few that have become slow show many times their load, and in a plain mean they would close the
    cap while the others have room. So each counts by the part of its own usual capacity that it still has:
    the load it bears here, over its capacity in use.
    """
    ours, even = min(1.0, max(0.05, m.active / max(1.0, active))), steady(m)
    gain = usual_gain(m, ours)
    for s, load in seen:
        held = sum(f.load for f in s.held.values())
        # Danger: with a connection or two of the hundred that stand there its capacity comes out anyhow;
        # one that is full then counts as slow, the mean goes down, and the cap stays open.
        if even and load > 0.1 and held > 2 * m.mean_load and len(s.held) >= FEW:
            can = held / ours / load
            s.can += (can - s.can) * CAN_GAIN if s.can else can
            s.usual += (can - s.usual) * gain if s.usual else can
    usual = [s.usual for s, _ in seen if s.usual]
    for s, _ in seen:
        # Danger: one that was slow when it was first seen has no better past. So its usual is never held
        # for less than some part of the others'; balancers differ in what they hold where.
        if s.usual:
            s.part = min(1.0, s.can / max(s.usual, USUAL_LEAST * sum(usual) / len(usual)))
    # Danger: a connection or two do not tell what a server usually does. Two of eight that hung counted
    # whole, at many times their load: the cap was cut again and again, while the others were nearly empty. So
    # one beyond what it can do is held to be asked for as much as the middle one, and to have lost the rest.
    loads = sorted(s.load for s in m.servers.values() if s.ready and s.load >= 0) or [1.0]
    middle = loads[(len(loads) - 1) // 2]
    parts = [s.part if s.usual or load <= 1 else min(1.0, middle / load) for s, load in seen]
    return sum(part * load for part, (_, load) in zip(parts, seen, strict=True)) / sum(parts)


def steady(m: Memory) -> bool:
    """Whether this balancer's part of the tier has been much the same lately.

    Danger: its part of a server's load is taken for its part of the tier. While another sends clients here
    they stand where they were just put; a slow server that took a dozen seemed to bear the load of ten.
    """
    m.carried = [(at, load) for at, load in m.carried if m.now - at <= STEADY_US]
    m.carried.append((m.now, m.active))
    loads = [load for _, load in m.carried]
    return min(loads) >= STEADY * max(loads)


def usual_gain(m: Memory, ours: float) -> float:
    """Per round, of what servers usually do; forgotten once this balancer's part of the tier is another.

    Danger: what a server can do comes out in proportion to that part's error. With another balancer's clients
    here all servers seem to do less than before, count as slow, and are emptied when they are needed most.
    Danger: after a start, reports tell of the time before, when little stood there: a usual learned from them
    is twice what there is, and any later load looks like a server that has become slow.
    """
    if not STEADY * m.basis <= ours <= m.basis / STEADY:
        m.basis, m.basis_at = ours, m.now
        for s in m.servers.values():
            s.can = s.usual = 0.0
            s.part = 1.0
    m.basis += (ours - m.basis) * USUAL_GAIN
    return USUAL_GAIN if m.now - m.basis_at >= STEADY_US else CAN_GAIN


def count(m: Memory, service: str, load: float) -> None:
    """A connection's load, as a hint, a note or another process tells it.

    Danger: the first alone is no mean. A balancer with few clients that first heard of a heavy one counted
    each newcomer as ten for the rest of the day, and refused clients while the servers were half empty.
    """
    for name in ("", service):
        mean, told = m.means.get(name, (0.0, 0))
        m.means[name] = mean + (load - mean) * max(MEAN_GAIN, 1 / (told + 1)), told + 1
    m.mean_load = m.means[""][0]


def load_of(m: Memory, service: str) -> float:
    """What a newcomer of that class counts as: its class's mean, or that of all while none has told."""
    return m.means.get(service, (0.0, 0))[0] or m.mean_load or 1.0


def brings(m: Memory, own: float, share: float | None, balancers: int) -> float:
    """The load by which this balancer's budgets of cold servers go, of `own` that stands here.

    Danger: one that its clients leave uses none of its part, and one that they come to had none: a cold
    server stays empty beside full ones. So load at balancers that have no part of the clients, sent away from
    there or just come, counts by parts at those that have.
    Danger: counted there too it is brought twice, and a cold server is pushed over.
    Danger: where all servers were out or have died nothing stands, nothing is brought, and clients are
    refused until the first one is warm. So while none is warm it goes by what stood when some were.
    """
    if m.all_cold and not m.going:
        return m.standing
    if not m.peers:
        return 0.0 if m.going else own
    pool = sum(p.active for p in m.peers.values() if not p.clients)
    if share is not None and not m.going:
        return own + pool * share
    return 0.0 if any(p.clients for p in m.peers.values()) else (own + pool) / balancers


def follow(m: Memory, warm: Sequence[Server], belief: Callable[[Server], float]) -> tuple[int, float]:
    """When servers were last lost, and the mean load with those in reach now, to whom comes what stood there.

    Danger: each of many balancers sees little, and reports show load when it is there. When a zone is lost
    all let its clients in again at once, and the rest serve nobody for seconds. The guess closes the cap only
    so far, and reports do the rest. Those that drain or are gone leave in their own time, as reports show.
    """
    here = {s.id for s in warm}
    came = [belief(s) for s in warm if s.id not in m.reach]
    lost = sum(m.servers[id_].ready for id_ in m.reach - here if id_ in m.servers)
    lost_at, fleet = m.lost_at, m.fleet
    if m.reach and warm and (came or lost):
        guess = (fleet * (len(warm) - len(came) + lost) + sum(came)) / len(warm)
        if lost and guess > fleet:
            lost_at = m.now
        fleet = min(guess, max(fleet, GUESS))
    m.reach = here or m.reach
    m.warm, m.all_cold = len(warm) or m.warm, not warm
    return lost_at, fleet
