"""The sessions of admitted clients.

A session outlasts its connections by a timeout, so that a client whose connection broke is admitted again.
"""

from __future__ import annotations

from dataclasses import dataclass

from .event_batch import EventBatch
from .state import RoutedRequest


@dataclass(slots=True)
class Session:
    """The session of an admitted client.

    Attributes:
        load: total load of the client's connections; after the last one has ended, the load of that one.
        last_seen_at_us: when a connection of the client last began or ended.
        connections: number of the client's requests in progress and open connections.
    """

    load: float
    last_seen_at_us: int
    connections: int = 0


class ClientSessions:
    """The sessions at this balancer.

    Attributes:
        by_key: the sessions by client key.
        active_load: total load of all sessions.
        session_timeout_us: a session without connections ends after this time.
    """

    def __init__(self, batch: EventBatch, session_timeout_us: int) -> None:
        self._batch = batch
        self.session_timeout_us = session_timeout_us
        self.by_key: dict[int | str, Session] = {}
        self.active_load = 0.0

    def __len__(self) -> int:
        """The number of clients with a session."""
        return len(self.by_key)

    def get(self, key: int | str) -> Session | None:
        """Returns the client's session; None if it has none."""
        return self.by_key.get(key)

    def add_connection(self, request: RoutedRequest) -> None:
        """Adds the request to its client's session, which begins if there is none."""
        session = self.by_key.get(request.key)
        if session is None:
            session = self.by_key[request.key] = Session(0.0, self._batch.now_us)
        elif not session.connections:
            self.active_load -= session.load
            session.load = 0.0
        session.connections += 1
        session.last_seen_at_us = self._batch.now_us
        session.load += request.load
        self.active_load += request.load

    def remove_connection(self, request: RoutedRequest, keep_session: bool) -> None:
        """Removes a request that has ended.

        After the last one, the session ends at once, or by timeout if `keep_session` is set.
        """
        session = self.by_key.get(request.key)
        if session is None:
            return
        session.connections -= 1
        session.last_seen_at_us = self._batch.now_us
        if session.connections > 0:
            session.load -= request.load
            self.active_load -= request.load
        elif not keep_session:
            self.end(request.key)

    def end(self, key: int | str) -> None:
        """Ends the client's session."""
        self.active_load -= self.by_key.pop(key).load

    def change_load(self, request: RoutedRequest, load: float) -> None:
        """Changes the load of the request's connection, and of its session."""
        session = self.by_key.get(request.key)
        if session:
            self.active_load += load - request.load
            session.load += load - request.load
        request.load = load

    def expire(self) -> None:
        """Ends sessions that have been without a connection for longer than `session_timeout_us`."""
        oldest_us = self._batch.now_us - self.session_timeout_us
        expired = [
            key
            for key, session in self.by_key.items()
            if not session.connections and session.last_seen_at_us < oldest_us
        ]
        for key in expired:
            self.end(key)
        if not self.by_key:
            self.active_load = 0.0  # discards accumulated rounding errors
