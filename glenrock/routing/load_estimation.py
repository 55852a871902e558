"""How loaded a server is now: from its reports, from word of slow messages, and from what has changed since.

A report tells of the past: it is refreshed now and then, and delivered late. What was sent since is in none
yet, and what has left since is in it still. Where messages are late their delays tell of the present.
"""

from __future__ import annotations

from collections.abc import Iterable

from .event_batch import NEVER_US, SECOND_US, EventBatch
from .interface import LOAD_RATIO, UTILIZATION, Settings
from .state import DelaySample, Server, TimedLoad

FEEDBACK_DELAY_US = 2 * SECOND_US  # load reports may be refreshed and delivered this late
MEAN_REPORT_AGE_US = FEEDBACK_DELAY_US // 2
FRESH_REPORT_US = 1 * SECOND_US  # a report counts as the present this long
VALID_REPORT_US = 10 * SECOND_US  # and is better than the mean of all servers this long
DELAY_REPORT_VALID_US = 3 * SECOND_US // 2  # word of slow messages comes once a second
MIN_DELAY_SAMPLE_INTERVAL_US = SECOND_US // 2  # nearer ones say nothing of how a delay grows
OWN_LOAD_HISTORY_US = 4 * SECOND_US  # own load at a server is kept this long: longer than reports are late

BUSY_LOAD = 0.82  # what slow messages say of a server
MIN_LATE_LOAD = 1.1  # what a server has at least whose messages miss their objective
QUIET_LOAD = 0.58  # what silence says where there are no reports: room enough for the cap to rise
MIN_DELAY_GROWTH_LOAD, MAX_DELAY_GROWTH_LOAD = (
    0.3,
    3.0,
)  # what the growth of a delay may say: beyond these it is chance
INITIAL_FLEET_LOAD = 0.5
ENOUGH_CONNECTIONS = 5  # own connections at a server that say something of the rest there


def load_of_report(report: dict[str, float]) -> float | None:
    """The load that a report tells, as a part of capacity; None where it tells none."""
    load = report.get(LOAD_RATIO, report.get(UTILIZATION))
    return load if load is not None and load >= 0 else None


class LoadEstimator:
    """Loads of the servers as known now.

    Attributes:
        has_reports: health checks tell of load at all.
        is_silence_healthy: word comes of connections whose messages are slow, so none means that none are.
        fleet_load: mean load of the servers, as the capacity estimate has it.
    """

    def __init__(self, batch: EventBatch, settings: Settings) -> None:
        self._batch = batch
        fields = settings.load_report_fields
        self.has_reports = settings.may_health_check and (LOAD_RATIO in fields or UTILIZATION in fields)
        self.is_silence_healthy = settings.has_message_delay_reports
        self.fleet_load = INITIAL_FLEET_LOAD
        self._remembered: dict[str, Server] = {}  # servers with a history of own load
        self._remembered_us = NEVER_US  # the last round

    def record_own_load(self, servers: Iterable[Server]) -> None:
        """Once a round: what stands where, for reports that tell of now later.

        Args:
            servers: those where connections stand. One where nothing stands, nor did lately, has no history:
                that says as much.
        """
        now_us = self._batch.now_us
        for server in servers:
            if server.id not in self._remembered:
                self._remembered[server.id] = server
                if server.added_us <= self._remembered_us:
                    server.own_load_history = [TimedLoad(self._remembered_us, 0.0)]
        for server in list(self._remembered.values()):
            history = [past for past in server.own_load_history if now_us - past[0] < OWN_LOAD_HISTORY_US]
            history.append(TimedLoad(now_us, server.own_load))
            server.own_load_history = history
            if not server.connections and not any(load for _, load in history):
                server.own_load_history = []
                del self._remembered[server.id]
        self._remembered_us = now_us

    def record_report(self, server: Server, load: float) -> None:
        """A load as a report tells it, a part of capacity.

        Only what was sent since the time of which it tells still counts beside it: with all that was sent
        before the report taken off, a server would look empty for the second that reports are old.
        """
        now_us = self._batch.now_us
        server.reported_load = load
        server.reported_at_us = now_us
        server.own_load_at_report = self._own_load_before(server, now_us - MEAN_REPORT_AGE_US)
        server.recent_sends = [sent for sent in server.recent_sends if now_us - sent[0] < MEAN_REPORT_AGE_US]
        server.unreported_load = sum(load for _, load in server.recent_sends)

    def _own_load_before(self, server: Server, at_us: int) -> float:
        for past in reversed(server.own_load_history):
            if past.at_us <= at_us:
                return past.load
        return server.own_load_history[0].load if server.own_load_history else 0.0

    def record_sent(self, server: Server, load: float) -> None:
        """Load was sent there: no report shows it yet. What no report can leave out any more is forgotten."""
        now_us = self._batch.now_us
        sends = server.recent_sends
        if sends and now_us - sends[0].at_us >= VALID_REPORT_US:
            sends = [sent for sent in sends if now_us - sent.at_us < VALID_REPORT_US]
        sends.append(TimedLoad(now_us, load))
        server.recent_sends = sends
        server.unreported_load += load

    def recently_sent_load(self, server: Server) -> float:
        """Load sent there that no report can show yet, where servers may go without a report for long."""
        since_us = self._batch.now_us - VALID_REPORT_US
        return sum(load for at_us, load in server.recent_sends if at_us >= since_us)

    def record_delay(self, server: Server, delay_us: float, objective_us: int) -> bool:
        """Word of how long a message takes there. True if it misses its objective."""
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
            server.objective_missed_us = now_us
        return delay_us >= objective_us

    def misses_message_objective(self, server: Server) -> bool:
        """Whether messages there miss their objective now."""
        return self._batch.now_us - server.objective_missed_us < DELAY_REPORT_VALID_US

    def was_slow_recently(self, server: Server) -> bool:
        """Whether it told of slow messages while a health check was out: no answer then tells of load."""
        return bool(server.connections) and self._batch.now_us - server.delayed_at_us < DELAY_REPORT_VALID_US

    def was_heard_recently(self, server: Server) -> bool:
        """Whether it said anything: an unanswered health check is no proof then that it is out of reach."""
        return self._batch.now_us - server.last_heard_us < DELAY_REPORT_VALID_US

    @staticmethod
    def load_from_delays(server: Server) -> float:
        """The load of a server whose messages are late, from how fast their delay grows.

        Reports of the time before would have the same excess sent away twice; and one that only works off
        what is piled up would look as loaded as one that goes on piling up.
        """
        at_us, delay_s, own_load = server.delay_samples[-1]
        growth = delay_s  # before the first word there was no delay worth telling, a second ago
        if len(server.delay_samples) > 1:
            first = server.delay_samples[0]
            growth = (delay_s - first.delay_s) * SECOND_US / (at_us - first.at_us)
            own_load = (own_load + first.own_load) / 2
        remaining = 1.0
        if own_load > 0 and len(server.connections) >= ENOUGH_CONNECTIONS:
            remaining = min(1.0, server.own_load / own_load)
        asked_for = min(MAX_DELAY_GROWTH_LOAD, max(MIN_DELAY_GROWTH_LOAD, 1 + growth))
        return asked_for * remaining + delay_s * SECOND_US / FEEDBACK_DELAY_US

    def load(self, server: Server) -> float:
        """The load of a server as known now: from late messages, its last report, or the mean of all."""
        now_us = self._batch.now_us
        age_us = now_us - server.reported_at_us
        known = server.reported_load >= 0 and age_us < VALID_REPORT_US
        load = server.reported_load if known else min(self.fleet_load, 1.0)
        newer_than_report = server.objective_missed_us > server.reported_at_us - MEAN_REPORT_AGE_US
        if self.misses_message_objective(server) and server.delay_samples and newer_than_report:
            return self.load_from_delays(server)
        if age_us < FRESH_REPORT_US:
            return load
        if now_us - server.delayed_at_us < DELAY_REPORT_VALID_US:
            return max(load, BUSY_LOAD)
        if server.connections and self.is_silence_healthy:
            # Only servers in trouble are asked again, and their old reports would hold the cap down. One that
            # holds connections of ours and sends no word of slow messages is not busy.
            return min(load, BUSY_LOAD if self.has_reports else QUIET_LOAD)
        return load

    def remaining_load_fraction(self, server: Server) -> float:
        """The part of our load there that has not left since its last report.

        The other balancers shed as we do. Of a hundred connections there a balancer of many holds two; one
        that ends says nothing of the rest.
        """
        own_load = server.own_load
        age_us = self._batch.now_us - server.reported_at_us
        enough = len(server.connections) >= ENOUGH_CONNECTIONS and age_us < VALID_REPORT_US
        if enough and not self.misses_message_objective(server) and server.own_load_at_report > own_load:
            return own_load / server.own_load_at_report
        return 1.0
