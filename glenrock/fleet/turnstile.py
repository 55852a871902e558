"""At most k balancers drained by hand at a time: a ticket is a lease of its own, held by the one that drains.

Who can't prove its ticket drains no more, and takes clients again. A ticket outlives its process, so that a restart is
covered; the next life gives it back once it serves, and time does where there is none.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from ..log import say
from .ownership.claim import Ended
from .ownership.sqlite_store import boottime_us
from .ownership.store import StoreDown
from .roster import hashed

if TYPE_CHECKING:
    from .agent import Fleet

AGAIN_S = 0.5
ANSWER_S = 0.8  # for all that a call asks of the store: operators are owed an answer within 1 s


def slot(n: int) -> str:
    return f"turnstile/{n}"


class Turnstile:
    def __init__(self, fleet: Fleet, tickets: int) -> None:
        self.fleet = fleet
        begin = hashed(fleet.name) % tickets  # so that all who ask at once do not ask for the same
        self.slots = [slot((begin + n) % tickets) for n in range(tickets)]
        self.held = ""
        self.answers: dict[str, asyncio.Future[bool]] = {}
        self.turn = asyncio.Lock()
        fleet.on_event.append(self.on_event)
        fleet.after_answer.append(self.on_answer)

    def start(self) -> None:
        self.fleet.run(self.give_back_old())
        self.fleet.run(self.go_round())

    async def go_round(self) -> None:
        """A drain that goes on is work that is being done."""
        while True:
            if self.held:
                self.fleet.holdings.went_round(self.held, boottime_us())
            await asyncio.sleep(self.fleet.rules.lease / 4e6)

    async def give_back_old(self) -> None:
        """Tickets of earlier lives, once clients are taken again."""
        old = dict(self.fleet.kept.tickets)
        if not old:
            return
        while not (self.fleet.program.operators and self.fleet.program.operators.operations.serves):
            await asyncio.sleep(0.1)
        for job, (holder, term) in old.items():
            while True:
                try:
                    await self.fleet.store.free(job, holder, term)
                    break
                except StoreDown as bad:
                    self.fleet.down(bad)
                    await asyncio.sleep(AGAIN_S)
            if self.fleet.kept.tickets.get(job) == (holder, term):
                del self.fleet.kept.tickets[job]
            say("ticket", f"{job}, term {term} of an earlier life is given back")
        await self.fleet.write()

    async def take(self) -> str:
        """A ticket. Returns why there is none; empty where it is held."""
        async with self.turn:
            if self.held:
                return ""
            loop = asyncio.get_running_loop()
            until = loop.time() + ANSWER_S
            try:
                leases = await asyncio.wait_for(self.fleet.store.leases(self.slots), ANSWER_S)
            except (StoreDown, TimeoutError) as bad:
                self.fleet.down(bad)
                return f"not done: the store of tickets does not answer: {bad or 'no answer in time'}"
            for job in self.slots:
                lease = leases.get(job)
                if not (lease and lease.holder) and await self.ask(job, until - loop.time()):
                    return ""
            holders = ", ".join(sorted({lease.holder.partition("/")[0] for lease in leases.values() if lease.holder}))
            return f"not done: {len(self.slots)} may be drained at a time, and are: {holders or 'just taken by others'}"

    async def ask(self, job: str, within_s: float) -> bool:
        answer = self.answers[job] = asyncio.get_running_loop().create_future()
        self.fleet.holdings.want(job, boottime_us())
        self.fleet.wakes.set()
        try:
            got = await asyncio.wait_for(answer, max(0.0, within_s))
        except TimeoutError:
            got = False
        self.answers.pop(job, None)
        term = self.fleet.holds(job)
        if not got or term is None:
            self.end(job)
            return False
        self.fleet.kept.tickets[job] = self.fleet.holder, term
        self.held = job
        if await self.fleet.write() and self.proven():
            return True
        self.give_back()
        return False

    def on_answer(self, job: str) -> None:
        if (answer := self.answers.get(job)) and not answer.done():
            answer.set_result(self.fleet.holds(job) is not None)

    def on_event(self, job: str, e: Any) -> None:
        if isinstance(e, Ended) and job == self.held:
            self.lose(e.why)

    def proven(self) -> bool:
        """Whether the ticket is held now; where it is not, the drain ends."""
        if self.held and self.fleet.holds(self.held) is None:
            self.lose("its term is over")
        return bool(self.held)

    def lose(self, why: str) -> None:
        """Danger: without the ticket another may be drained now."""
        say("ticket", f"{self.held} is lost ({why}): clients are taken again")
        self.fleet.holdings.wanted.discard(self.held)
        self.held = ""
        self.fleet.program.leaving.back()

    def give_back(self) -> None:
        job, self.held = self.held, ""
        if job:
            self.fleet.kept.tickets.pop(job, None)
            self.fleet.run(self.fleet.write())
            self.end(job)

    def end(self, job: str) -> None:
        asks, events = self.fleet.holdings.leave(job, boottime_us())
        self.fleet.told(events)
        if asks:
            self.fleet.run(self.fleet.ask(asks))
