"""Service discovery: publishes the endpoint list and its changes to each balancer, with delays and outages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from glenrock.routing import interface
from glenrock.routing.interface import EndpointListKind, EndpointState

from ..engine import SECOND_US, Engine
from ..spec_tables import Discovery
from ..spec_types import drawn_number
from ..streams import Streams
from .balancer import BalancerProcess


class EndpointFeed:
    """Publishes whether each server is ready, draining or gone.

    Attributes:
        max_delivery_delay_us: upper bound of the drawn delay from publication to delivery at a balancer.
        endpoints: the published list, by server.
        silent_until_us: end of an outage in which nothing is published.
        cached_list_age_us: age of the cached list that a starting balancer gets; 0: the last list that it received.
        changes_reported: by server, number of changes that were reported to service discovery.
        changes_published: by server, sequence number of the latest published change.
        history: published changes with their times, from which older lists are rebuilt.
        initial_endpoints: the list as of the start of the run.
        watchers: indices of the balancers that watch the list, in the mode in which they must ask for it.
    """

    def __init__(self, spec: Discovery, balancers: list[BalancerProcess], engine: Engine, streams: Streams) -> None:
        self.spec, self.balancers, self.engine = spec, balancers, engine
        self.max_delivery_delay_us = round(drawn_number(spec.spread_ms) * 1000)
        self.draw_uniform = streams.uniforms("feed")
        self.endpoints: dict[str, interface.Endpoint] = {}
        self.silent_until_us = 0
        self.cached_list_age_us = 0
        self.changes_reported: dict[str, int] = {}
        self.changes_published: dict[str, int] = {}
        self.history: list[tuple[int, interface.Endpoint]] = []
        self.initial_endpoints: dict[str, interface.Endpoint] = {}
        self.watchers: set[int] = set()

    def start(self, endpoints: list[interface.Endpoint]) -> None:
        """Sets the list as of the start of the run."""
        self.endpoints = {endpoint.server_id: endpoint for endpoint in endpoints}
        self.initial_endpoints = dict(self.endpoints)

    def report_change(self, delay_s: float, server: str, state: EndpointState, started_us: int | None = None) -> None:
        """Reports a change of a server's process, which is published after `delay_s` seconds.

        Args:
            delay_s: seconds until the change is published.
            server: name of the server.
            state: its new state.
            started_us: when the process started, if it is a new one.
        """
        due_us = self.engine.now + round(delay_s * SECOND_US)
        self.changes_reported[server] = number = self.changes_reported.get(server, 0) + 1
        self.engine.at(due_us, self._publish, server, state, started_us, number)

    def _publish(self, server: str, state: EndpointState, started_us: int | None, number: int) -> None:
        now = self.engine.now
        if now < self.silent_until_us:
            self.engine.at(self.silent_until_us, self._publish, server, state, started_us, number)
            return
        # The end of a process is detected later than a start. If the next process has been published meanwhile, the
        # older change would report a running server as gone.
        if number < self.changes_published.get(server, 0):
            return
        self.changes_published[server] = number
        before = self.endpoints[server]
        endpoint = replace(before, state=state, started_us=before.started_us if started_us is None else started_us)
        if endpoint == before:
            return
        self.endpoints[server] = endpoint
        self.history.append((now, endpoint))
        for balancer in self.balancers:
            if balancer.is_up and (self.spec.mode == "push" or balancer.index in self.watchers):
                self._deliver(balancer, interface.EndpointList(EndpointListKind.CHANGES, (endpoint,)))

    def _deliver(self, balancer: BalancerProcess, endpoint_list: interface.EndpointList) -> None:
        """Delivers a list after a drawn delay; a balancer's deliveries arrive in order."""
        due_us = max(
            self.engine.now + round(self.draw_uniform() * self.max_delivery_delay_us), balancer.last_delivery_us
        )
        balancer.last_delivery_us = due_us
        self.engine.at(due_us, self._receive_list, balancer, balancer.incarnation, endpoint_list)

    def _receive_list(self, balancer: BalancerProcess, incarnation: int, endpoint_list: interface.EndpointList) -> None:
        if balancer.incarnation == incarnation and balancer.is_up:
            balancer.receive_endpoints(endpoint_list)

    def _full_list(self) -> interface.EndpointList:
        return interface.EndpointList(EndpointListKind.FULL, _listed_endpoints(self.endpoints))

    def cached_list(self, balancer: BalancerProcess) -> interface.EndpointList:
        """Returns the cached list of a starting balancer: the last one it received, or an older one during a fault."""
        if not self.cached_list_age_us:
            return interface.EndpointList(EndpointListKind.CACHED, _listed_endpoints(balancer.endpoints))
        as_of_us = self.engine.now - self.cached_list_age_us
        endpoints = dict(self.initial_endpoints)
        for at_us, endpoint in self.history:
            if at_us <= as_of_us:
                endpoints[endpoint.server_id] = endpoint
        return interface.EndpointList(EndpointListKind.CACHED, _listed_endpoints(endpoints))

    def balancer_started(self, balancer: BalancerProcess) -> None:
        """Sends the full list to a balancer that has started, if lists are pushed."""
        self.watchers.discard(balancer.index)
        if self.spec.mode == "push":
            self._after_silence(lambda: self._deliver(balancer, self._full_list()), balancer)

    def _after_silence(self, call: Callable[[], None], balancer: BalancerProcess) -> None:
        if self.engine.now >= self.silent_until_us:
            call()
            return
        incarnation = balancer.incarnation

        def call_if_up() -> None:
            if balancer.incarnation == incarnation and balancer.is_up:
                call()

        self.engine.at(self.silent_until_us, call_if_up)

    def watch(self, balancer: BalancerProcess) -> None:
        """Handles a balancer's request to watch the list, which may fail."""
        is_silent = self.engine.now < self.silent_until_us
        has_failed = is_silent or self.draw_uniform() < drawn_number(self.spec.ask_failures)
        due_us = self.engine.now + round(drawn_number(self.spec.ask_ms) * 1000)
        self.engine.at(due_us, self._answer_watch, balancer, balancer.incarnation, has_failed)

    def _answer_watch(self, balancer: BalancerProcess, incarnation: int, has_failed: bool) -> None:
        if balancer.incarnation != incarnation or not balancer.is_up:
            return
        if has_failed:
            balancer.receive_endpoints(interface.EndpointList(EndpointListKind.FAILED))
        else:
            self.watchers.add(balancer.index)
            self._deliver(balancer, self._full_list())


def _listed_endpoints(endpoints: dict[str, interface.Endpoint]) -> tuple[interface.Endpoint, ...]:
    return tuple(endpoint for endpoint in endpoints.values() if endpoint.state != EndpointState.GONE)
