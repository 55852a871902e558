"""Estimates the present load of each server from load reports, message delays, and later changes.

A load report describes the past: servers refresh it rarely, and it arrives late. It does not include load
that was sent since, and still includes load that has left since. If messages are late, their delays show the
present load.
"""

from __future__ import annotations

from collections.abc import Iterable

from .event_batch import NEVER_US, SECOND_US, EventBatch
from .interface import LOAD_RATIO, UTILIZATION, Settings
from .state import DelaySample, Server, TimedLoad

FEEDBACK_DELAY_US = 2 * SECOND_US
"""Maximum age of a load report on arrival: refresh interval plus delivery.

Reports show the effect of a cut only after this delay, so the cap and the weights are cut at most once in it.
"""

MEAN_REPORT_AGE_US = FEEDBACK_DELAY_US // 2
FRESH_REPORT_US = 1 * SECOND_US  # up to this age, a report is taken as the present load
VALID_REPORT_US = 10 * SECOND_US  # up to this age, a report is preferred to the mean load of the fleet
DELAY_REPORT_VALID_US = 3 * SECOND_US // 2  # slow messages are reported once a second
MIN_DELAY_SAMPLE_INTERVAL_US = SECOND_US // 2  # samples closer together do not show how a delay grows
OWN_LOAD_HISTORY_US = 4 * SECOND_US  # must exceed FEEDBACK_DELAY_US

SLOW_MESSAGES_LOAD = 0.82  # assumed load of a server with slow messages
MISSED_OBJECTIVE_MIN_LOAD = 1.1  # minimum load assumed of a server whose messages miss their objective
LIGHT_LOAD = 0.58  # also assumed of a server without load reports or slow messages, so that the cap can rise
MIN_DELAY_GROWTH_LOAD = 0.3  # minimum load derived from the growth of a delay; a lower one is noise
MAX_DELAY_GROWTH_LOAD = 3.0  # maximum load derived from the growth of a delay; a higher one is noise
INITIAL_FLEET_LOAD = 0.5
MIN_FLEET_LOAD = 0.1  # avoids a division by a value near 0
MIN_REPRESENTATIVE_CONNECTIONS = 5  # own connections at a server that represent all its connections


def load_of_report(report: dict[str, float]) -> float | None:
    """Returns the load in a report, as a fraction of capacity; None if the report has no valid load.

    A negative load is not valid, since `Server.reported_load` below 0 means that the load is not known.
    """
    load = report.get(LOAD_RATIO, report.get(UTILIZATION))
    return load if load is not None and load >= 0 else None


def has_representative_load(server: Server) -> bool:
    """Returns whether this balancer's connections at the server represent all connections there."""
    return len(server.connections) >= MIN_REPRESENTATIVE_CONNECTIONS


class LoadEstimator:
    """Estimates the present load of each server.

    Attributes:
        has_reports: health checks return a load.
        has_delay_reports: slow messages are reported, so a server without such reports is not slow.
        fleet_load: mean load of the servers; `CapacityEstimator` updates it.
    """

    def __init__(self, batch: EventBatch, settings: Settings) -> None:
        self._batch = batch
        fields = settings.load_report_fields
        self.has_reports = settings.may_health_check and (LOAD_RATIO in fields or UTILIZATION in fields)
        self.has_delay_reports = settings.has_message_delay_reports
        self.fleet_load = INITIAL_FLEET_LOAD
        self._servers_with_history: dict[str, Server] = {}
        self._last_round_at_us = NEVER_US

    @property
    def bounded_fleet_load(self) -> float:
        """The mean load of the fleet, at least `MIN_FLEET_LOAD`, for use as a divisor."""
        return max(MIN_FLEET_LOAD, self.fleet_load)

    def record_own_load(self, servers: Iterable[Server]) -> None:
        """Records this balancer's load at each server, once a round, to compare with later reports.

        Args:
            servers: the servers with connections of this balancer. A server that had none recently has no
                history, which counts as a load of 0.
        """
        now_us = self._batch.now_us
        for server in servers:
            if server.server_id not in self._servers_with_history:
                self._servers_with_history[server.server_id] = server
                if server.first_listed_at_us <= self._last_round_at_us:
                    server.own_load_history = [TimedLoad(self._last_round_at_us, 0.0)]
        for server in list(self._servers_with_history.values()):
            history = [past for past in server.own_load_history if now_us - past.at_us < OWN_LOAD_HISTORY_US]
            history.append(TimedLoad(now_us, server.own_load))
            server.own_load_history = history
            if not server.connections and not any(load for _, load in history):
                server.own_load_history = []
                del self._servers_with_history[server.server_id]
        self._last_round_at_us = now_us

    def record_report(self, server: Server, load: float) -> None:
        """Records a reported load, as a fraction of capacity.

        Load that was sent after the time that the report describes still counts in addition to it. Otherwise
        a server would seem empty for the second by which reports are late, and would receive every new
        connection of that second.
        """
        now_us = self._batch.now_us
        server.reported_load = load
        server.reported_at_us = now_us
        server.own_load_at_report = self._own_load_before(server, now_us - MEAN_REPORT_AGE_US)
        server.recent_sends = [
            sent for sent in server.recent_sends if now_us - sent.at_us < MEAN_REPORT_AGE_US
        ]
        server.unreported_load = sum(load for _, load in server.recent_sends)

    def _own_load_before(self, server: Server, at_us: int) -> float:
        for past in reversed(server.own_load_history):
            if past.at_us <= at_us:
                return past.load
        return server.own_load_history[0].load if server.own_load_history else 0.0

    def record_sent(self, server: Server, load: float) -> None:
        """Records load that was sent to the server, and drops old load that every report includes by now."""
        now_us = self._batch.now_us
        sends = server.recent_sends
        if sends and now_us - sends[0].at_us >= VALID_REPORT_US:
            sends = [sent for sent in sends if now_us - sent.at_us < VALID_REPORT_US]
        sends.append(TimedLoad(now_us, load))
        server.recent_sends = sends
        server.unreported_load += load

    def recently_sent_load(self, server: Server) -> float:
        """Returns the load sent to the server in the last `VALID_REPORT_US`; used if reports are rare."""
        since_us = self._batch.now_us - VALID_REPORT_US
        return sum(load for at_us, load in server.recent_sends if at_us >= since_us)

    def record_delay(self, server: Server, delay_us: float, objective_us: int) -> bool:
        """Records the delay of a message. Returns whether it misses its objective."""
        now_us = self._batch.now_us
        if delay_us > objective_us / 3:
            server.delayed_at_us = now_us
        samples = server.delay_samples
        if not samples or now_us - samples[-1].at_us >= MIN_DELAY_SAMPLE_INTERVAL_US:
            oldest_us = now_us - FEEDBACK_DELAY_US - MIN_DELAY_SAMPLE_INTERVAL_US
            samples = [sample for sample in samples[-1:] if sample.at_us >= oldest_us]
            samples.append(DelaySample(now_us, delay_us / SECOND_US, server.own_load))
            server.delay_samples = samples
        if delay_us >= objective_us:
            server.objective_missed_at_us = now_us
        return delay_us >= objective_us

    def misses_message_objective(self, server: Server) -> bool:
        """Returns whether messages at the server currently miss their objective."""
        return self._batch.now_us - server.objective_missed_at_us < DELAY_REPORT_VALID_US

    def was_slow_recently(self, server: Server) -> bool:
        """Returns whether slow messages were reported recently, so that a timed-out check means overload."""
        return bool(server.connections) and self._batch.now_us - server.delayed_at_us < DELAY_REPORT_VALID_US

    def was_heard_recently(self, server: Server) -> bool:
        """Returns whether the server was heard from recently, so that a timed-out check is no failure."""
        return self._batch.now_us - server.last_heard_at_us < DELAY_REPORT_VALID_US

    @staticmethod
    def load_from_delays(server: Server) -> float:
        """Returns the load of a server with late messages, derived from the growth of their delay.

        A server with a load of 1 + g falls behind by g seconds of work per second, so its delay grows by g
        seconds per second. Working off the delay within one feedback delay takes another
        delay / `FEEDBACK_DELAY_US` of its capacity, which is added to the load. The growth also
        shows whether a backlog shrinks or grows; otherwise a server that only works off its backlog would be
        emptied. Load reports are older, and would cause the same excess load to be migrated twice.
        """
        at_us, delay_s, own_load = server.delay_samples[-1]
        growth = delay_s  # per second: no delay was reported one second before the first sample
        if len(server.delay_samples) > 1:
            first = server.delay_samples[0]
            growth = (delay_s - first.delay_s) * SECOND_US / (at_us - first.at_us)
            own_load = (own_load + first.own_load) / 2
        remaining = 1.0
        if own_load > 0 and has_representative_load(server):
            remaining = min(1.0, server.own_load / own_load)
        offered_load = min(MAX_DELAY_GROWTH_LOAD, max(MIN_DELAY_GROWTH_LOAD, 1 + growth))
        return offered_load * remaining + delay_s * SECOND_US / FEEDBACK_DELAY_US

    def load(self, server: Server) -> float:
        """Returns the present load of a server, from late messages, its last report, or the fleet's mean."""
        now_us = self._batch.now_us
        age_us = now_us - server.reported_at_us
        is_known = server.reported_load >= 0 and age_us < VALID_REPORT_US
        load = server.reported_load if is_known else min(self.fleet_load, 1.0)
        is_newer_than_report = server.objective_missed_at_us > server.reported_at_us - MEAN_REPORT_AGE_US
        if self.misses_message_objective(server) and server.delay_samples and is_newer_than_report:
            return self.load_from_delays(server)
        if age_us < FRESH_REPORT_US:
            return load
        if now_us - server.delayed_at_us < DELAY_REPORT_VALID_US:
            return max(load, SLOW_MESSAGES_LOAD)
        if server.connections and self.has_delay_reports:
            # The server has connections here and no slow messages, so it is not busy, whatever its old report
            # says. Health checks favor servers with faults, and the old high loads of servers that are not
            # checked again would keep the cap low.
            return min(load, SLOW_MESSAGES_LOAD if self.has_reports else LIGHT_LOAD)
        return load

    def remaining_load_fraction(self, server: Server) -> float:
        """Returns the fraction of this balancer's load at the server that remains since the last report.

        The other balancers migrate load in the same way, so the fraction applies to the whole server. It is 1
        if this balancer has too few of the server's connections to be representative.
        """
        own_load = server.own_load
        age_us = self._batch.now_us - server.reported_at_us
        is_representative = has_representative_load(server) and age_us < VALID_REPORT_US
        if (
            is_representative
            and not self.misses_message_objective(server)
            and server.own_load_at_report > own_load
        ):
            return own_load / server.own_load_at_report
        return 1.0
