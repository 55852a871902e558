"""What this balancer's own start came to: when it was ready, heard the list and served, and what its calls came to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ...__main__ import Program
    from ...net.pace import Pace

LOOK_MS = 20.0
FIRST_MS = 5000.0  # of service: what is done in it belongs to the start
GIVEN_UP_MS = 600_000.0  # a start that is not over by then is looked at no more


class CountedPace:
    """A pace that counts what calls for the list came to, and is otherwise the one it was given."""

    def __init__(self, pace: Pace) -> None:
        self.pace = pace
        self.answered = self.refused = self.failed = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.pace, name)

    def heard(self) -> None:
        self.answered += 1
        self.pace.heard()

    def overbooked(self) -> float:
        self.refused += 1
        return self.pace.overbooked()

    def retry(self, failures: int) -> float:
        self.failed += 1
        return self.pace.retry(failures)


class Milestones:
    """Times are Unix milliseconds of the balancer's own clock, 0 while something has not come."""

    def __init__(self, program: Program) -> None:
        self.program, self.clock = program, program.clock
        self.begun = self.clock.now()
        self.waited = self.ready = self.heard = self.served = 0.0
        self.list = "none"
        self.first: dict[str, int] = {}  # done in the first seconds of service
        self.calls: CountedPace | None = None

    def start(self, list_: str) -> None:
        """Before the first call. `list_`: what the start goes by: kept, given or none."""
        self.list = list_
        self.waited = self.clock.now() - self.begun
        self.calls = self.program.table.pace = CountedPace(self.program.table.pace)  # type: ignore[assignment]

    def done(self) -> dict[str, int]:
        """Since the process began."""
        counts = self.program.server.counts
        up, refused, failed = (sum(counts.outcomes[name].values()) for name in ("fulfilled", "throttled", "faulted"))
        return {"attempts": counts.relayed, "up": up, "refused": refused, "failed": failed}

    async def watch(self) -> None:
        """Until the start is over. Looked at, not told: nothing that serves knows of it."""
        p = self.program
        while self.clock.now() < self.begun + GIVEN_UP_MS:
            now = self.clock.now()
            self.ready = self.ready or now * (p.entrance.listener is not None)
            self.heard = self.heard or now * p.table.first.is_set()
            self.served = self.served or now * (self.done()["up"] > 0)
            if self.ready and not self.first and now >= self.ready + FIRST_MS:
                self.first = self.done()
            if self.first and self.heard and self.served:
                return
            await self.clock.sleep(LOOK_MS)

    def view(self) -> dict[str, Any]:
        c = self.calls
        calls = {"answered": c.answered, "refused": c.refused, "failed": c.failed} if c else {}
        return {"begun_ms": round(self.begun), "waited_ms": round(self.waited), "ready_ms": round(self.ready),
                "heard_ms": round(self.heard), "served_ms": round(self.served), "list": self.list,
                "calls": calls, "first": dict(self.first) or self.done()}

