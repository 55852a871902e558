"""What operators may ask for, answered by the parts that know. This object keeps nothing of its own."""

from __future__ import annotations

from wheatrouter.hand import avoided

from ..net.command_server import CommandServer
from ..net.decider import Decider
from ..net.instance import Instances
from ..net.leaving import Leaving
from ..upgrade.agreement import Agreement
from .figures import Figures


class Operations:
    def __init__(self, decider: Decider, instances: Instances, server: CommandServer, leaving: Leaving,
                 agreement: Agreement) -> None:
        self.decider, self.instances, self.server = decider, instances, server
        self.leaving, self.agreement = leaving, agreement
        self.serves = False  # clients are taken

    def ready(self) -> str:
        return self.leaving.why() if self.serves else "not ready: clients are not taken yet"

    def figures(self) -> Figures:
        counts, balancer, names = self.server.counts, self.decider.balancer, self.instances.listed()
        return Figures(counts.outcomes, counts.relayed, self.server.open(), len(names),
                       avoided(balancer, balancer.usable, names))

    def listed(self, name: str) -> bool:
        return self.agreement.knows(name)

    async def suspend(self, name: str) -> str:
        return await self.agreement.call(name, True)

    async def resume(self, name: str) -> str:
        return await self.agreement.call(name, False)

    def drain(self) -> str:
        return self.leaving.by_hand()

    def activate(self) -> str:
        return self.leaving.back()
