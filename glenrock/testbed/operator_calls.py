"""An operator of a scenario: calls to the balancers' admin addresses, and their answers."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import aiohttp

from .history_events import ActivateAnswered, DrainAnswered, OverrideAnswered, OverrideRequested
from .scenario_testbed import ScenarioTestbed

CALL_TIMEOUT_S = 5.0
AGREEMENT_POLL_S = 0.1
MAX_TEXT_CHARACTERS = 100  # of an answer in the history
PARTY = "operator"
NO_ANSWER = 0  # in place of a status


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to a call: status and text; NO_ANSWER and the error where none came."""

    status: int
    text: str

    @property
    def shown(self) -> str:
        """The beginning of the text, for the history."""
        return self.text.strip()[:MAX_TEXT_CHARACTERS]


class Operator:
    """Suspends and resumes servers, and drains balancers, at one balancer each."""

    def __init__(self, bed: ScenarioTestbed) -> None:
        self._bed = bed
        self._client = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))

    async def close(self) -> None:
        """Ends all calls."""
        await self._client.close()

    async def _call(self, balancer: int, method: str, path: str) -> CallAnswer:
        host, port = self._bed.network.admin(balancer)
        try:
            async with self._client.request(method, f"http://{host}:{port}{path}") as answer:
                return CallAnswer(answer.status, await answer.text())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return CallAnswer(NO_ANSWER, repr(error))

    async def override_server(self, balancer: int, server: int, is_suspended: bool) -> None:
        """Suspends a server at one balancer, or resumes it."""
        stand_in, action = self._bed.servers[server], "suspend" if is_suspended else "resume"
        self._bed.history.note(PARTY, OverrideRequested(balancer, stand_in.party, is_suspended))
        answer = await self._call(balancer, "POST", f"/v1/session-servers/{stand_in.name}/{action}")
        answered = OverrideAnswered(balancer, stand_in.party, is_suspended, answer.status, answer.shown)
        self._bed.history.note(PARTY, answered)

    async def drain_balancer(self, balancer: int, lasts_s: float) -> None:
        """Drains a balancer, and ends the drain after `lasts_s` where it was permitted."""
        answer = await self._call(balancer, "POST", "/v1/balancer/drain")
        self._bed.history.note(PARTY, DrainAnswered(balancer, answer.status, answer.shown))
        if answer.status == HTTPStatus.OK:
            await asyncio.sleep(lasts_s)
            answer = await self._call(balancer, "POST", "/v1/balancer/activate")
            self._bed.history.note(PARTY, ActivateAnswered(balancer, answer.status, answer.shown))

    async def _view(self, balancer: int) -> dict[str, Any]:
        answer = await self._call(balancer, "GET", "/v1/fleet")
        return json.loads(answer.text) if answer.status == HTTPStatus.OK else {}

    async def disagreements(self, timeout_s: float) -> list[str]:
        """Returns the balancers whose overrides differ from the others' after `timeout_s`, as text; none if all agree.

        Returns as soon as all agree.
        """
        until_s = asyncio.get_running_loop().time() + timeout_s
        while True:
            found = await self._differing_views()
            if not found or asyncio.get_running_loop().time() > until_s:
                return found
            await asyncio.sleep(AGREEMENT_POLL_S)

    async def _differing_views(self) -> list[str]:
        running = [
            balancer.number for balancer in self._bed.balancers if balancer.is_running and not balancer.is_paused
        ]
        views = {number: await self._view(number) for number in running}
        overrides = {
            number: {server: word["out"] for server, word in view.get("words", {}).items()}
            for number, view in views.items()
        }
        first = next(iter(overrides.values()), {})
        return [
            f"balancer {number}: {found or views[number].get('store', 'no answer')}"
            for number, found in overrides.items()
            if found != first or not views[number] or views[number]["wishes"]
        ]
