"""Every decision of the balancer, in the order a request meets them.

Interface (settings, events, actions): wheatrouter/interface.py. Why it is so: docs/design.md.
One Balancer per process in service; it has no clock, no I/O and shares nothing with other instances.
"""

from __future__ import annotations

import random

from . import beliefs, cold, estimates, setups
from . import interface as io
from .beliefs import FEEDBACK_US, FRESH_US, LATE, QUIET, belief
from .hand import Hand, restart
from .records import NEVER, Attempt, Flow, Memory, Peer, Server, Session, Waiter, code_of
from .recovery.domains import Domains
from .ring import MASK, mix, points
from .summary import decode, encode, fault

S = 1_000_000  # microseconds in a second
# -- periods ---------------------------------------------------------------------------------------
ROUND_US = S // 2  # the cap, the slots and the summaries are worked out this often
CALM_US = 5 * S  # summaries come this often while there is room, each second when there is none
LAG_US = 4 * S  # shares are read this far back: every summary in between has arrived or is lost
PROBE_WAIT_US = 40_000  # a request waits this long for the probes of its candidates: small beside any aim
# -- load, as a part of capacity -------------------------------------------------------------------
TARGET = 0.72  # where the fleet should work: messages are late well before all cores are full
HIGH = 0.86  # probed load above this is high: it cuts the cap and the weight
RELIEF = 0.65  # when connections have to go they go down to this, so that the work piled up drains
LONE = 0.5  # or to this where the others have room: what makes one server slow often makes it slower yet
SLOW, LEFT = 0.6, 0.3  # with no more than this part of its usual capacity one is slow; it is emptied to this
DRAIN_US = 6 * S  # work piled up at a server takes this long to go
LEAVE_US = 2 * S  # clients of a server that drains are told to move over this time, before it cuts them off
MOVE_AT = 1.0  # above this a server serves hardly any message in time, so open connections are moved
SAMPLE = 12  # servers known that make the fleet's mean; all of them, where there are fewer
# -- AIMD ------------------------------------------------------------------------------------------
CAP_CUT, CAP_RISE = 0.85, 0.25  # per feedback delay; per round, of the room that reports show
WEIGHT_CUT, WEIGHT_RISE, WEIGHT_MIN, WEIGHT_MAX = 0.7, 0.05, 0.05, 3.0
# -- placing ---------------------------------------------------------------------------------------
CANDIDATES = 5  # servers compared for a request; more cost probes and gain little
AFFINITY = 0.10  # load a group's later candidates must be better by, since each one pays for the group anew
CROSSING = 3.0  # load that a crossing of zones must gain, as a multiple of its price
# -- budgets, in points of the result (1 = all of it) ------------------------------------------------
PROBE_BUDGET = 0.016  # probes may take this much
MOST_PROBES = 60.0  # probes saved up; half of them are kept for a fleet that is not calm
PEER_BUDGET = 0.004  # summaries may take this much
MAX_LINE = 20_000  # keys kept in the line: memory stays bounded in a flood


class Balancer(Memory):
    def __init__(self, settings: io.Settings, seed: int) -> None:
        super().__init__()
        self.set = s = settings
        self.classes = {c.name: c for c in s.classes}
        self.domains, self.hand = Domains(), Hand()  # links to other zones; servers out by hand
        self.rng = random.Random(seed)
        self.salt = self.rng.getrandbits(64)
        # Session Duration: a client cut off comes back within the longest retry-after or so.
        self.session_us = max(2 * S, 2 * s.max_retry_after_us)
        self.bucket_us = max(S, s.max_retry_after_us)  # all who were sent away together return as one bucket
        self.lapse_us = 4 * self.bucket_us
        self.margin_us = 2 * s.tick_us  # an answer leaves this long before the client's time is up
        self.aim_us = min((c.message_aim_us for c in s.classes if c.message_aim_us), default=0)
        self.reported = beliefs.reports(s)
        self.setup_aim_us = min(c.aim_us for c in s.classes)
        self.handlers = {
            io.ServerList: self.on_list, io.Request: self.on_request, io.OpenConnection: self.on_open,
            io.Started: self.on_started, io.ServerNote: self.on_note, io.AttemptEnded: self.on_ended,
            io.ClientGone: self.on_gone, io.TimerFired: self.on_timer, io.ProbeResult: self.on_probe,
            io.PeerMessage: self.on_peer, io.ByHand: self.on_hand, io.Going: self.on_going}

    def handle(self, now_us: int, events: list[io.Event]) -> list[io.Action]:
        first, self.now, self.out, self.odd = not self.now, now_us, [], []
        if first:
            # Balancers that started together must not ask the list service, or speak, all at once.
            spread = min(self.set.ask_within_us / 3, self.set.balancers * S / 5)
            self.ask_at = now_us + int(self.rng.random() * spread)
            self.timer(now_us + 1 + int(self.rng.random() * ROUND_US), "")
        for zone in self.domains.settle(now_us):
            # What failed is the link, and no server: none is out of use for it once the link is whole.
            for s in self.servers.values():
                if s.zone == zone:
                    s.failures = s.down_until = 0
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        return self.out

    def timer(self, at: int, what: str) -> None:
        self.timers[self.next_ref] = what
        self.out.append(io.SetTimer(at, self.next_ref))
        self.next_ref += 1

    # == membership and drains =====================================================================

    def on_list(self, e: io.ServerList) -> None:
        if e.kind == "failed":
            self.asked = False
            self.ask_failures += 1
            wait = min(self.set.ask_within_us / 2, S * 2 ** min(self.ask_failures, 4))
            self.ask_at = self.now + int(wait * (0.5 + self.rng.random() / 2))
            return
        if e.kind != "remembered":
            self.ask_failures = 0
        if e.kind != "changes":
            named = {x.server for x in e.entries}
            for s in [s for s in self.servers.values() if s.id not in named]:
                self.list_ready(s, False)
                if not s.held and e.kind == "full" and not any(
                        a.server is s for f in self.flows.values() for a in f.attempts):
                    del self.servers[s.id]
        mean = sum(x.size for x in e.entries) / len(e.entries) if e.entries else 1.0
        for x in e.entries:
            s = self.servers.get(x.server)
            if s is None:
                s = self.servers[x.server] = Server(x.server, x.zone, x.cell, code_of(x.server))
                s.weight = min(WEIGHT_MAX, max(0.25, x.size / mean)) if mean > 0 else 1.0
            s.zone, s.cell = x.zone, x.cell
            self.list_ready(s, x.state == "ready")
            if (started := self.hand.started(s.id, x.started_us)) > s.started_us:
                restart(s, started)
        self.change_rings()

    def change_rings(self) -> None:
        # One change for the whole list: server by server, thousands of them take seconds.
        self.ring.change([change[:3] for change in self.changed])
        self.local.change([change[:3] for change in self.changed if change[3]])
        self.changed.clear()

    def on_hand(self, e: io.ByHand) -> None:
        if self.hand.take(e, self.now) and (s := self.servers.get(e.server)):
            restart(s, max(s.started_us, self.hand.started(s.id, 0)))
            self.list_ready(s, s.listed)
            self.change_rings()

    def list_ready(self, s: Server, listed: bool) -> None:
        s.listed, ready = listed, listed and self.hand.allows(s.id)
        if s.ready != ready:
            s.ready = ready
            # Gone counts too: a machine that vanished leaves its connections open and silent.
            s.leaves_by = 0 if ready else self.now + LEAVE_US
            near = s.zone == self.set.zone and self.set.price_cross_zone > 0
            self.changed.append((s, points(s.code), ready, near))

    def may_take(self, s: Server, load: float) -> bool:
        """The one place that says whether a server may be sent new work now."""
        # Danger: a send after a drain notice breaks the drain; so nothing goes there once it is known.
        return s.ready and (self.usable(s) or self.none_left) and cold.room(self, self.set, s) >= load

    def usable(self, s: Server) -> bool:
        return self.now >= s.down_until and self.domains.may_use(self.now, s.zone, s.code)

    def reached(self, s: Server, answers: bool) -> None:
        """Evidence on the link to its zone."""
        if s.zone != self.set.zone:
            self.domains.saw(s.zone, s.id, answers)

    def warmth(self, s: Server) -> float:
        return cold.warmth(self.set, s, self.now)

    # == server weights (AIMD) and slow start ======================================================

    def learn(self, s: Server, load: float) -> None:
        beliefs.reported(self, s, load)
        # Relative to the fleet: when all are slow alike, weights say nothing and the cap has to fall.
        if load > max(HIGH, 1.2 * self.fleet):
            self.cut(s)
        elif load < self.fleet:
            s.weight = min(WEIGHT_MAX, s.weight + WEIGHT_RISE)

    def learn_report(self, s: Server, report: dict[str, float]) -> None:
        load = report.get(io.LOAD_RATIO, report.get(io.UTILIZATION))
        if load is not None and load >= 0:  # less is no load: it would count as not known
            self.learn(s, load)

    def belief(self, s: Server) -> float:
        return belief(self, self.set, s)

    def cut(self, s: Server) -> None:
        if self.now - s.cut_at >= FEEDBACK_US:
            s.cut_at = self.now
            s.weight = max(WEIGHT_MIN, s.weight * WEIGHT_CUT)

    def failed(self, s: Server) -> None:
        """Out of reach twice in a row: out of use for a while that doubles, then tried again."""
        self.reached(s, False)
        s.failures = min(s.failures + 1, 6)
        if s.failures > 1 and not self.domains.cut(s.zone):
            s.down_until = self.now + int(S / 4 * 2 ** s.failures * (0.75 + self.rng.random() / 2))
        self.cut(s)

    def probe(self, s: Server) -> bool:
        if s.probe_at >= 0 and self.now - s.probe_at < S:
            return True
        if not self.reported or self.probe_tokens < 1:
            return False
        self.probe_tokens -= 1
        s.probe_at = self.now
        self.out.append(io.Probe(s.id))
        return True

    def longest_unheard(self, s: Server) -> tuple[bool, int, int]:
        # Danger: in one order of servers, balancers that started together ask them in step.
        return s.probe_at >= 0, s.load_at, s.code * (self.salt | 1) & MASK

    def on_probe(self, e: io.ProbeResult) -> None:
        s = self.servers.get(e.server)
        if s is None:
            return
        s.probe_at = -1
        if e.verdict == "served":
            s.failures = s.down_until = 0
            self.reached(s, True)
            self.learn_report(s, e.report)
        elif e.verdict == "timeout" and beliefs.slow(self, s):
            # Danger: one that is full answers no probe in time. Held for out of reach it stayed unused for
            # half a minute, and the fleet's load was worked out from the one or two that were left.
            self.learn(s, max(LATE, s.load))
        elif e.verdict == "no_connection" or e.verdict == "timeout" and not beliefs.heard(self, s):
            self.failed(s)  # out of reach says nothing of its load, nor of the fleet's
        for f in [f for f in self.choosing.values() if e.server in f.waits_for]:
            f.waits_for.discard(e.server)
            if not f.waits_for:
                self.decide(f)

    def on_note(self, e: io.ServerNote) -> None:
        f = self.flows.get(e.id)
        if f is None:
            return
        if e.load is not None and e.load >= 0:
            # Danger: where requests carry no hint, the mean is learned here or not at all; each newcomer
            # would count as nothing, and a mass return would be heaped on the servers that were probed last.
            estimates.count(self, f.event.service, e.load)
            session = self.sessions.get(f.key)
            if session:
                self.active += e.load - f.load
                session.load += e.load - f.load
            f.load = e.load
        s = self.servers.get(e.server)
        if s is None:
            return
        s.heard_at = self.now
        if e.message_us is None or not self.aim_us:
            return
        if beliefs.noted(self, s, e.message_us, self.aim_us):
            self.cut(s)

    # == the learned cap ===========================================================================

    def known_active(self) -> float:
        return self.active + sum(p.active for p in self.peers.values())

    def learn_cap(self) -> None:
        # Servers of which something is known now; a few of them move the mean only so far.
        there = [s for s in self.servers.values() if s.ready and not s.failures and self.usable(s)]
        # Danger: servers just started are empty but may not be filled: their room is not the fleet's yet.
        warm = [s for s in there if self.warmth(s) >= 1]
        self.lost_at, self.fleet = estimates.follow(self, warm, self.belief)
        # Danger: reports from before the clients of lost servers are back would open the cap for them again.
        since = max(self.now - FEEDBACK_US, self.lost_at + estimates.BACK_US)
        seen = [(s, min(3.0, self.belief(s))) for s in warm
                if s.load_at > since or s.held and self.set.tells_delay]
        if seen:
            gain = min(1.0, len(seen) / min(SAMPLE, len(warm)))
            self.fleet += (estimates.mean(self, seen, self.known_active()) - self.fleet) * gain
        active = self.known_active()
        # Danger: one server that falls over drops all it held within a round. That is its own trouble: only
        # where several turn clients away is the fleet full.
        several = len(self.turned_at) > 1 and 3 * len(self.turned_at) > len(warm)
        full = self.tried >= 4 and self.turned > 0.2 * self.tried and (several or len(warm) < 3)
        self.tried = self.turned = 0
        self.turned_at.clear()
        # Danger: reports are late. Set against the actives of now, they cut what has left already, and let in
        # again what is on its way; so they are set against the actives of their own time.
        then = next((a for at, _, a in self.history if self.now - at <= FEEDBACK_US), active)
        # Danger: a fleet that stays full keeps its cap, and clients out of servers that came back empty. So
        # what may have been brought to these by now counts beside the cap.
        self.cold = [s for s in there if self.warmth(s) < 1]
        filled = sum(cold.fill(self.set, s, self.now) for s in self.cold)
        self.cold_cap = filled * TARGET * then / max(0.1, self.fleet) / max(1, len(warm))
        bears = then * TARGET / max(0.1, self.fleet)  # what the fleet carries at the target
        if self.fleet > HIGH or full:
            if self.now - self.cap_cut_at >= FEEDBACK_US:
                self.cap_cut_at = self.now
                self.cap = min(self.cap, max(then / 2, bears) if self.fleet > HIGH else active * CAP_CUT)
        elif self.cap < float("inf"):
            self.cap += max(0.0, bears - self.cap) * CAP_RISE
            if self.cap > 4 * active:
                self.cap = float("inf")

    # == lagged shares and slots ===================================================================

    def share(self) -> float | None:
        """This balancer's part of all clients seen, as of the lag; None without history."""
        mine = self.lagged_clients()
        total = mine + sum(p.clients for p in self.peers.values())
        return mine / total if mine and (self.peers or self.set.balancers == 1) else None

    def lagged_clients(self) -> int:
        return next((count for at, count, _ in self.history if self.now - at <= LAG_US), 0)

    def queues(self) -> dict[int, float]:
        """Load waiting here by bucket: of clients refused here lately, for others have gone elsewhere."""
        queues: dict[int, float] = {}
        for w in self.line.values():
            if self.now - w.seen <= self.bucket_us:
                queues[w.bucket] = queues.get(w.bucket, 0.0) + w.load
        return queues

    def divide_slots(self) -> None:
        """Free slots go to the oldest buckets first; the one they do not fill is split by shares."""
        active = self.known_active()
        queues = self.queues()
        for p in self.peers.values():
            for bucket, load in p.line:
                queues[bucket] = queues.get(bucket, 0.0) + load
        self.newcomers_pass = not queues and active < self.cap / 2
        free = slots = max(0.0, self.cap + self.cold_cap - active)
        mine = self.share() or 1.0  # no history: the plain cap
        self.open_until, self.partial = -NEVER, NEVER
        for bucket in sorted(queues):
            if queues[bucket] > free:
                self.partial = bucket
                break
            self.open_until = bucket
            free -= queues[bucket]
        if self.part > 0 and self.kept_out:
            # Danger: clients come back at other balancers, and slots kept for their old buckets here stay
            # empty. What the oldest did not take goes to younger buckets, twice as many a round.
            self.younger = min(2 * self.younger + 1, MAX_LINE)
        elif self.part <= 0:
            self.younger = 0
        # The oldest pass beside the ledger; with others kept out, no more is kept for them than they claimed.
        if self.kept_out and slots < float("inf"):
            free = max(free, slots - self.claimed / mine)
        self.kept_out, self.claimed = False, 0.0
        self.part = free * mine

    # == waiting buckets and sessions ==============================================================

    def admit(self, f: Flow) -> bool:
        session = self.sessions.get(f.key)
        if f.event.midflow or session and (session.flows or self.known_active() <= self.cap + self.cold_cap):
            self.enter(f)
            return True
        if session:
            # Danger: when servers drop connections by the hundred, sessions that come straight back keep them
            # down. While more are active than the cap, a session that was cut off waits like anybody.
            self.active -= self.sessions.pop(f.key).load
        waiter = self.line.get(f.key)
        bucket = waiter.bucket if waiter else self.now // self.bucket_us
        if self.newcomers_pass or (waiter and bucket <= self.open_until):
            passes = True
            self.claimed += f.load
        elif bucket > self.partial + self.younger:
            passes = False
            self.kept_out = True
        else:
            # The ledger of this round. A part smaller than one client passes it now and then.
            passes = self.part >= f.load or self.rng.random() * f.load < self.part
            self.part = max(0.0, self.part - f.load) if passes else self.part
        # One that has warmed up since the last round has no budget that binds: it counts in the cap.
        if not passes and any(self.warmth(s) < 1 and self.may_take(s, f.load) for s in self.cold):
            # Beside the cap: cold servers' budgets bind by themselves, and lie idle while others are full.
            passes = f.cold = True
        if passes:
            self.line.pop(f.key, None)
            self.enter(f)
        elif waiter:
            waiter.seen = self.now
        elif len(self.line) < MAX_LINE:
            self.line[f.key] = Waiter(bucket, f.load, self.now)
        return passes

    def enter(self, f: Flow) -> None:
        session = self.sessions.get(f.key)
        if session is None:
            session = self.sessions[f.key] = Session(0.0, self.now)
        elif not session.flows:
            self.active -= session.load
            session.load = 0.0
        session.flows += 1
        session.seen = self.now
        session.load += f.load
        self.active += f.load

    def leave(self, f: Flow, keep: bool) -> None:
        """The flow is over. Its session goes on for Session Duration, or ends with it."""
        session = self.sessions.get(f.key)
        if session is None:
            return
        session.flows -= 1
        session.seen = self.now
        if session.flows > 0:
            session.load -= f.load
            self.active -= f.load
        elif not keep:
            self.active -= session.load
            del self.sessions[f.key]

    def lapse(self) -> None:
        oldest = self.now - self.session_us
        for key in [k for k, x in self.sessions.items() if not x.flows and x.seen < oldest]:
            self.active -= self.sessions.pop(key).load
        for key in [k for k, w in self.line.items() if self.now - w.seen > self.lapse_us]:
            del self.line[key]
        if not self.sessions:
            self.active = 0.0  # no drift from rounding

    def flow_of(self, e: io.Request) -> Flow:
        kind = self.classes.get(e.service) or self.set.classes[0]
        load = float(e.load) if e.load > 0 else estimates.load_of(self, e.service)
        if e.load > 0:
            estimates.count(self, e.service, load)
        return Flow(e, kind, e.id if e.key is None else e.key, load, self.now)

    def on_open(self, e: io.OpenConnection) -> None:
        s = self.servers.get(e.server)
        if s is None or e.request.id in self.flows:
            return
        f = self.flow_of(e.request)
        f.attempts.append(Attempt(s, self.now))
        f.server, f.answered = s, True
        if not s.ready and not s.leaves_by:
            s.leaves_by = self.now + LEAVE_US  # it was to go before this balancer knew it
        self.flows[e.request.id] = f
        self.stand(f, s)
        self.enter(f)
        self.earn_probes()  # it was a first try once, and counts as one in the price

    def earn_probes(self) -> None:
        more = PROBE_BUDGET / max(self.set.price_probe, 1e-4)
        self.probe_tokens = min(MOST_PROBES, self.probe_tokens + more)

    def on_request(self, e: io.Request) -> None:
        if e.id in self.flows:
            return
        f = self.flows[e.id] = self.flow_of(e)
        if not e.returning and f.key not in self.line:  # prices go by first tries
            self.earn_probes()
            self.peer_tokens += 256 * PEER_BUDGET / max(self.set.price_peer, 1e-4)
            self.peer_tokens = min(64.0 * 256 * self.set.balancers, self.peer_tokens)
        if not self.admit(f):
            self.refuse(f)
            return
        self.timer(e.deadline_us - self.margin_us, e.id)
        self.place(f)

    # == placing and retrying ======================================================================

    def may_try(self, f: Flow) -> bool:
        """Whether a request may go anywhere at all. Two attempts at once are never needed here."""
        return not (f.answered or f.server or len(f.attempts) >= self.set.max_attempts
                    or any(not a.verdict for a in f.attempts)
                    or self.now >= f.event.deadline_us - self.margin_us)

    def may_send(self, f: Flow, s: Server) -> bool:
        """The one place that says whether a request may be sent (again), and where."""
        if not self.may_try(f) or not self.may_take(s, f.load):
            return False
        first = f.ran
        if first is None or f.kind.effect == "safe":
            return True
        # Danger: a second effect. Only servers that drop the repeat, only while they remember it.
        if f.kind.effect == "unsafe" or self.now > first.sent_at + f.kind.repeat_window_us:
            return False
        at, scope = first.server, f.kind.repeat_scope
        return scope == "all" or (s.zone == at.zone if scope == "zone" else s.cell == at.cell)

    def may_refuse(self, f: Flow) -> bool:
        """The one place that says whether a request may be refused: a retry must be harmless."""
        harmless = f.kind.effect == "safe" or f.kind.effect == "keyed" and f.kind.repeat_scope == "all"
        return not (f.answered or f.server) and (harmless or not f.ran)

    def candidates(self, f: Flow) -> list[Server]:
        """Weighted random pick; a group seeds it, so that its connections meet on the same servers.

        Danger: each server that holds any of a group pays for it once more, and where each of many balancers
        goes by its own weights and zone a group ends on all servers. So the order of a group's servers is the
        same at all, after the one where it was last seen to stand.
        """
        group = f.event.group
        seed = self.rng.getrandbits(64) if group is None else mix(group)
        tried = {a.server.id for a in f.attempts}
        # Danger: where all are out of use nobody would be tried again for seconds. All is as good as none.
        self.none_left = not any(s.ready and self.usable(s) for s in self.servers.values())
        home = None if group is None else self.homes.get(group)
        # Danger: where the others are full, servers that came back cold would stay nearly empty: each of many
        # balancers may bring one a connection only now and then. So they are looked at first.
        found = [s for s in self.cold if (f.cold or self.fleet > TARGET) and s.id not in tried
                 and self.may_send(f, s)]
        found.sort(key=lambda s: mix(seed ^ s.code))
        if f.cold or not self.ring:
            return found[:CANDIDATES]
        if home and home not in found and home.id not in tried and self.may_send(f, home):
            found.insert(0, home)
        del found[CANDIDATES - 1:]
        for n in range(16):
            near = group is None and self.local and (n % 2 == 0 or n > 8)
            s = (self.local if near else self.ring).at(mix(seed + n))
            if s in found or s.id in tried or not self.may_send(f, s):
                continue
            if mix(seed ^ s.code) / MASK * (WEIGHT_MAX / 2 if group is None else 1) <= s.weight:
                found.append(s)
                if len(found) == CANDIDATES:
                    return found
        if not found:  # few may take it: go round the ring once, those already tried last
            around = self.ring.around(mix(seed))
            found = [s for s in around if s.id not in tried and self.may_send(f, s)][:1]
            found = found or [s for s in around if self.may_send(f, s)][:1]
        return found

    def place(self, f: Flow) -> None:
        f.choice = self.candidates(f) if setups.room(self) and self.may_try(f) else []
        if not f.choice:
            self.hold(f)
            return
        if len(f.choice) > 1 and not f.attempts:
            stale = [s for s in f.choice if self.now - s.load_at > FRESH_US]
            f.waits_for = {s.id for s in stale if self.probe(s)}
            if f.waits_for:
                self.choosing[f.event.id] = f
                self.timer(self.now + PROBE_WAIT_US, f.event.id)
                return
        self.decide(f)

    def estimate(self, s: Server) -> float:
        load = self.belief(s)
        if s.probe_at >= 0 and self.now - s.probe_at >= PROBE_WAIT_US:
            load = max(load, 1.0)  # it leaves a probe unanswered
        # Danger: one that has become slow shows little load once it is emptied, and a few clients fill it.
        return load + (s.placed / self.capacity / min(1.0, s.part / SLOW) if self.capacity else 0.0)

    def decide(self, f: Flow) -> None:
        """Of the drawn servers the least loaded, with a handicap for crossing and for spreading a group."""
        f.waits_for.clear()
        self.choosing.pop(f.event.id, None)
        best, least = None, 0.0
        for rank, s in enumerate(f.choice):
            cost = self.estimate(s) + (AFFINITY * rank if f.event.group is not None else 0.0)
            cost += CROSSING * self.set.price_cross_zone if s.zone != self.set.zone else 0.0
            if self.may_send(f, s) and (best is None or cost < least):
                best, least = s, cost
        if best is None:
            self.hold(f)
        else:
            self.send(f, best)

    def send(self, f: Flow, s: Server) -> None:
        left = f.event.deadline_us - self.margin_us - self.now
        limit = left
        if len(f.attempts) + 1 < self.set.max_attempts:  # leave room for another
            limit = min(left, max(left * 6 // 10, 2 * self.set.dial_timeout_us))
        if f.ran and f.kind.effect == "keyed":  # danger: a connection that comes up after the window
            limit = max(1, min(limit, f.ran.sent_at + f.kind.repeat_window_us - self.now))
        f.attempts.append(Attempt(s, self.now))
        cold.send(self, self.set, s, f.load)
        s.placed += f.load
        s.sends.append((self.now, f.load))
        self.tried += 1
        setups.sent(self)
        self.out.append(io.Send(f.event.id, s.id, limit))

    def hold(self, f: Flow) -> None:
        if any(not a.verdict for a in f.attempts):
            return
        # With the last server out by hand there is nothing to wait for: the refusal goes at once.
        if (self.ring or not self.hand.out) and len(f.attempts) < self.set.max_attempts \
                and self.now < f.arrived + f.kind.aim_us:
            self.held[f.event.id] = None
        else:
            self.end(f)

    def on_started(self, e: io.Started) -> None:
        f = self.flows.get(e.id)
        if f is None or f.answered or not 0 <= e.attempt < len(f.attempts):
            return
        s = f.attempts[e.attempt].server
        f.server, f.answered = s, True
        self.stand(f, s)
        s.failures = 0
        self.reached(s, True)
        setups.up(self, s.id, e.latency_us)
        self.next_held()

    def stand(self, f: Flow, s: Server) -> None:
        s.held[f.event.id] = f
        s.heard_at = self.now
        if f.event.group is not None:
            self.homes.pop(f.event.group, None)
            self.homes[f.event.group] = s
            if len(self.homes) > MAX_LINE:
                del self.homes[next(iter(self.homes))]

    def on_ended(self, e: io.AttemptEnded) -> None:
        f = self.flows.get(e.id)
        if f is None or not 0 <= e.attempt < len(f.attempts):
            return
        a = f.attempts[e.attempt]
        a.verdict, s = e.verdict, a.server
        self.learn_report(s, e.report)
        if not f.server:
            setups.failed(self, s.id, e.verdict)
            self.next_held()
        # Danger: a client that is sent away stands at another balancer, and would count at both for seconds.
        keep = not self.going
        if e.verdict in ("full", "no_connection", "timeout", "error", "broken"):
            self.cut(s)
            # Danger: a loaded server drops its newest connections; as sessions they would come straight back,
            # to be dropped again. A drop soon after the start is a turn-away: not admitted, back to the line.
            keep = not f.server or self.now - a.sent_at > self.session_us
            if e.verdict in ("full", "broken") and not (f.server and keep):
                self.turned += 1
                self.turned_at.add(s.id)
        if e.verdict == "no_connection":
            self.failed(s)
        elif e.verdict == "broken" and f.server and not s.failures:
            # Danger: of a server that died each of many balancers held one or two. Waiting for failures of
            # their own, all send it clients that come back, and let the others be filled with the rest.
            s.failures = 1
            self.probe(s)
        if e.done or f.server:
            if not e.done and not f.event.midflow:
                self.out.append(io.Fail(e.id))
            self.forget(f, keep)
        elif not f.answered:
            self.place(f)

    def on_going(self, e: io.Going) -> None:
        self.going, self.told_at = e.on, self.now
        self.standing *= not e.on  # the others bring it to cold servers, as soon as they hear of it

    def on_gone(self, e: io.ClientGone) -> None:
        if f := self.flows.get(e.id):
            self.forget(f, False)

    # == moves: off servers that leave, or that are beyond what they can do ========================

    def empty(self) -> None:
        """Clients leave a draining server before it does, a part each round: all at once would be a mass
        return, and each move has its price. Their sessions stand, so they come in again as they are."""
        for s in (x for x in self.servers.values() if x.leaves_by and x.held):
            part = -(-len(s.held) // max(1, (s.leaves_by - self.now) // ROUND_US))
            self.out += [io.Move(id_) for id_ in self.hand.leaving(self, s, part, TARGET)]

    def relieve(self) -> None:
        """Above capacity a server serves nobody in time. Each balancer takes its part of the excess away."""
        scarce = self.fleet > HIGH  # no room elsewhere: the least worth goes back to the line
        for s in self.servers.values():
            if not s.held or s.leaves_by:
                continue
            # Danger: what left after the report's time would be sent away once more.
            load, late = self.belief(s) * beliefs.left(self, s), beliefs.late(self, s)
            if not scarce and late:
                load = max(load, LATE)  # where there is room, late messages are enough
            # Danger: one that loses its capacity mostly goes on to drop all it holds: little is left there,
            # and it goes early.
            slow = s.part <= SLOW and not scarce
            if load <= (TARGET if slow else MOVE_AT):
                continue
            # Danger: work piled up keeps messages late long after enough has left; without a report of the
            # load asked, wait for it to drain before taking more.
            blind = not late and self.now - s.load_at > FRESH_US and not self.probe(s)
            wait = FRESH_US if slow else DRAIN_US if blind and scarce else FEEDBACK_US
            if self.now - s.moved_at < wait or s.probe_at >= 0 and not late:
                continue
            load = max(load, self.fleet) if blind else load
            s.moved_at = self.now
            # Danger: where the others are nearly full too, clients in number would go round and round.
            down_to = RELIEF if scarce else LEFT if slow else min(TARGET, max(LONE, self.fleet))
            excess = (load - down_to) / load * sum(f.load for f in s.held.values())
            # By worth, but drawn: in strict order the least worthy class would be served nothing at all.
            # A slow one loses whole groups: it bears a group's common work while it holds any of it.
            groups: dict[object, list[Flow]] = {}
            for id_, f in s.held.items():
                groups.setdefault(f.event.group if slow and f.event.group is not None else id_, []).append(f)
            order = [(g[0].kind.worth * self.rng.random() if scarce else -sum(f.load for f in g), n, g)
                     for n, g in enumerate(groups.values())]
            for _, _, group in sorted(order):
                weight = sum(f.load for f in group)
                if excess < weight and self.rng.random() * weight > excess:
                    break
                excess -= weight
                for f in group:
                    self.out.append(io.Move(f.event.id))
                    if scarce:
                        self.shed[f.event.id] = None

    # == answering in time =========================================================================

    def refuse(self, f: Flow) -> None:
        longest = self.set.max_retry_after_us if self.set.retry_after else 0
        # Spread over half the longest, so that those refused together do not return together.
        self.out.append(io.Refuse(f.event.id, int(longest * (0.5 + self.rng.random() / 2))))
        self.flows.pop(f.event.id, None)

    def end(self, f: Flow) -> None:
        """The final answer of a request that was admitted and could not be served."""
        if f.answered:
            return
        for n, a in enumerate(f.attempts):
            if not a.verdict and self.set.may_cancel:
                self.out.append(io.Cancel(f.event.id, n))
        if self.may_refuse(f):
            self.refuse(f)
        else:
            self.out.append(io.Fail(f.event.id))
        # A server's turn-away is not admitted: it keeps its place in the line, not a slot.
        self.line.setdefault(f.key, Waiter(f.arrived // self.bucket_us, f.load, self.now))
        self.forget(f, False)

    def next_held(self) -> None:
        """A set-up has ended: who waits for its place goes at once, and not with the next round."""
        if self.held and self.window < setups.NEVER_BINDS and setups.room(self):
            first = next(iter(self.held))
            del self.held[first]
            self.place(self.flows[first])

    def forget(self, f: Flow, keep: bool) -> None:
        if not f.server and any(not a.verdict for a in f.attempts):
            self.opening -= 1  # nobody waits for that set-up any more
        f.answered = True
        self.flows.pop(f.event.id, None)
        self.held.pop(f.event.id, None)
        self.choosing.pop(f.event.id, None)
        if f.server:
            f.server.held.pop(f.event.id, None)
        self.leave(f, keep and f.event.id not in self.shed)
        self.shed.pop(f.event.id, None)

    def on_timer(self, e: io.TimerFired) -> None:
        what = self.timers.pop(e.ref, None)
        if what == "":
            self.round()
        f = self.flows.get(what or "")
        if f is None or f.answered:
            return
        if self.now >= f.event.deadline_us - self.margin_us:
            self.end(f)  # danger: a request left unanswered is lost
        elif f.waits_for:
            self.decide(f)

    def round(self) -> None:
        self.timer(self.now + ROUND_US, "")
        self.lapse()
        for n in [n for n, p in self.peers.items() if self.now - p.heard > 3 * CALM_US]:
            del self.peers[n]  # departed: its clients come to the others, whose slots must not stay hidden
        self.history = [h for h in self.history if self.now - h[0] <= LAG_US]
        self.history.append((self.now, len(self.sessions) + len(self.line), self.known_active()))
        beliefs.remember(self)
        self.learn_cap()
        setups.learn(self, ROUND_US)
        ready = sum(s.ready for s in self.servers.values())
        # Danger: shares are uneven, most while one balancer drains; by its own a server looks full at once.
        tier = self.known_active() * self.set.balancers / (1 + len(self.peers))
        self.capacity = tier / max(1, ready) / max(0.1, self.fleet)
        own = sum(f.load for f in self.flows.values() if f.server)
        self.standing = estimates.brings(self, own, self.share(), self.set.balancers)
        self.divide_slots()
        self.empty()
        self.relieve()
        # Danger: with thin traffic, tokens kept for requests are never used, and a full fleet is not seen.
        spare = MOST_PROBES / 2 if self.fleet < QUIET and self.cap == float("inf") else 1
        if self.probe_tokens > spare and self.ring:  # a sample that no trouble chose
            # Of the longest unheard: a draw left one that had become slow unseen for six seconds.
            self.probe(min((s for s in self.servers.values() if s.ready),
                           key=self.longest_unheard))
        for zone in self.domains.to_ask(self.now):
            if there := [s for s in self.servers.values() if s.ready and s.zone == zone]:
                self.probe(min(there, key=self.longest_unheard))
        for s in self.servers.values():  # what stood before this balancer did is asked for at once
            if s.load < 0 and s.ready and len(s.held) >= estimates.FEW:
                self.probe(s)
        if not self.set.tells_delay:  # nobody says that a server is slow, so each that holds ours is asked
            for s in self.servers.values():
                stale = s.held and s.ready and self.now - s.load_at > FRESH_US
                if stale and max(self.fleet, self.estimate(s)) > QUIET:  # a calm fleet is not worth the price
                    self.probe(s)
        for id_ in list(self.held):
            if self.held.pop(id_, 0) is None:  # one that ended may have let it in
                self.place(self.flows[id_])
        if self.set.must_ask and not self.asked and self.now >= self.ask_at:
            self.asked = True
            self.out.append(io.Watch())
        if self.set.may_tell and self.set.balancers > 1 and self.now >= self.told_at:
            self.tell()

    # == peer summaries ============================================================================

    def tell(self) -> None:
        now = self.now // self.bucket_us
        line = [(now - b, load) for b, load in sorted(self.queues().items(), reverse=True)]
        clients = 0 if self.going else self.lagged_clients()  # its part of the slots is the others' meanwhile
        data = encode(self.now // 100_000 & 0xFFFF, self.active, clients, line)
        cost = len(data) * (self.set.balancers - 1)
        if self.peer_tokens >= cost:
            self.peer_tokens -= cost
            # While nobody waits the shares need little news, and what is saved then pays for scarcity.
            calm = not line and self.cap == float("inf")
            pause = ROUND_US // 2 if self.going else CALM_US if calm else 2 * ROUND_US
            self.told_at = self.now + int(pause * (0.9 + self.rng.random() / 5))
            self.out.append(io.Tell(data))

    def on_peer(self, e: io.PeerMessage) -> None:
        if e.peer == self.set.index:
            return
        read = decode(e.data)
        # All that tenants may hold, once a few connections have told what one is.
        known = len(self.sessions) >= estimates.FEW
        most = self.mean_load * sum(x.connections for x in self.set.tenants) if known else 0.0
        if wrong := fault(e.peer, self.set.balancers, read, most):
            self.odd.append(wrong)
            return
        stamp, active, clients, line = read
        old = self.peers.get(e.peer)
        if old and (stamp - old.stamp) & 0xFFFF > 0x7FFF or old and stamp == old.stamp:
            return  # late or doubled
        now = self.now // self.bucket_us
        self.peers[e.peer] = Peer(stamp, self.now, active, clients, [(now - age, x) for age, x in line])
        if old is None:
            self.cap += active  # it was there before it was heard of
