"""What operators may ask for, answered by the parts that know. This object keeps nothing of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..net.command_server import CommandServer
from ..net.decider import Decider
from ..net.instance import Instances
from ..net.leaving import Leaving
from ..upgrade.agreement import Agreement
from .figures import Figures

if TYPE_CHECKING:
    from ..fleet.agent import Fleet


class Operations:
    def __init__(self, decider: Decider, instances: Instances, server: CommandServer, leaving: Leaving,
                 agreement: Agreement) -> None:
        self.decider, self.instances, self.server = decider, instances, server
        self.leaving, self.agreement = leaving, agreement
        self.serves = False  # clients are taken
        self.fleet: Fleet | None = None  # what balancers do together, where the operator's file says so

    def ready(self) -> str:
        return self.leaving.why() if self.serves else "not ready: clients are not taken yet"

    def figures(self) -> Figures:
        counts, balancer, names = self.server.counts, self.decider.balancer, self.instances.listed()
        return Figures(counts.outcomes, counts.relayed, self.server.open(), len(names),
                       balancer.count_avoided(names))

    def listed(self, name: str) -> bool:
        return self.agreement.knows(name)

    async def suspend(self, name: str) -> str:
        return await self.by_hand(name, True)

    async def resume(self, name: str) -> str:
        return await self.by_hand(name, False)

    async def by_hand(self, name: str, out: bool) -> str:
        if self.fleet and self.fleet.bans:
            return await self.fleet.bans.by_hand(name, out)
        return await self.agreement.call(name, out)

    async def drain(self) -> str:
        turnstile = self.fleet.turnstile if self.fleet else None
        if turnstile and (why := await turnstile.take()):
            return why
        return self.leaving.by_hand(turnstile.proven if turnstile else None)

    async def activate(self) -> str:
        why = self.leaving.back()
        if self.fleet and self.fleet.turnstile and not why:
            self.fleet.turnstile.give_back()
        return why

    def together(self) -> str:
        return self.fleet.view() if self.fleet else ""
