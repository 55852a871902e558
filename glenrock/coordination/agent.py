"""Builds the coordination of one balancer, starts and ends it, and shows it to operators.

Loaded only where the operator's file is named. Nothing that clients wait for waits for it: with the store gone the
balancer serves on, and jobs rest.
"""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import replace
from pathlib import Path

from ..config import ConfigError
from ..log import say
from ..toml_file import InputFileError
from .background_tasks import BackgroundTasks
from .config import CoordinationFile, StartSettings, load
from .context import CoordinationContext
from .drain_limiter import DrainLimiter
from .durable_state import DurableState
from .host import BalancerHost
from .lease_runner import WATCH_SHARE, LeaseRunner
from .leases.candidate import LeaseTiming
from .leases.fence import Fence
from .leases.lease_manager import LeaseManager
from .leases.sqlite_store import AsyncSqliteStore, boottime_us
from .leases.store import LeaseStore
from .membership import PeerLiveness
from .override_records import OVERRIDES_JOB
from .override_replication import OverrideReplication
from .sharded_health_checks import ShardedHealthChecks
from .shared_work.override_log import OverrideLog
from .transport import DatagramTransport
from .warm_start.milestones import StartMilestones
from .warm_start.start_backoff import BackoffPolicy, StartBackoff
from .warm_start.start_cache import StartCache
from .warm_start.start_record import RecordTrust

RETRY_SHARE, BACKOFF_SHARE = 10, 5  # a lease over this is the time between two requests: refused, unanswered
STEP_SHARE = WATCH_SHARE  # of a lease, between two members' asking for one free job: with less, order meant nothing
MICROS = 1000  # in a millisecond


def timing_of(file: CoordinationFile) -> LeaseTiming:
    """Times of a lease, from the operator's file."""
    lease_us = round(file.lease.lease_ms * MICROS)
    return LeaseTiming(
        lease_us=lease_us,
        drift=file.lease.drift,
        request_timeout_us=round(file.lease.ask_ms * MICROS),
        retry_us=lease_us // RETRY_SHARE,
        unreachable_backoff_us=lease_us // BACKOFF_SHARE,
    )


def build_store(file: CoordinationFile, holder: str) -> LeaseStore:
    """The store that the operator's file names. OSError where its token cannot be read."""
    settings = file.store
    lock_delay_us = round(settings.lock_delay_ms * MICROS)
    if settings.kind == "sqlite":
        return AsyncSqliteStore(Path(settings.path), holder, lock_delay_us, file.lease.ask_ms / 1000)
    from .leases.consul_store import ConsulStore  # aiohttp is loaded here

    token = Path(settings.token_file).read_text().strip() if settings.token_file else ""
    lease_us = round(file.lease.lease_ms * MICROS)
    return ConsulStore(settings.addresses, holder, lease_us, settings.prefix, lock_delay_us, token)


class CoordinationAgent:
    """The coordination of one balancer.

    Attributes:
        overrides: operators' overrides for all; None where the file says no.
        drain_limiter: tickets for drains; None where these are not counted.
    """

    def __init__(self, host: BalancerHost, path: str) -> None:
        file, folder = _load(path)
        self._host = host
        self._context = _context_of(host, file, folder, path)
        jobs = file.jobs
        self.overrides = OverrideReplication(self._context) if jobs.bans else None
        self.drain_limiter = DrainLimiter(self._context, jobs.turnstile) if jobs.turnstile else None
        self._health_checks = ShardedHealthChecks(self._context) if jobs.probe_shards else None
        self._start_cache = self._start_cache_of(file.start, folder) if file.start.keep else None
        self._start_backoff = self._start_backoff_of(file.start, folder) if file.start.spaced else None
        self._milestones = StartMilestones(host)

    def _start_cache_of(self, settings: StartSettings, folder: Path) -> StartCache:
        trust = RecordTrust(settings.list_ms, settings.half_ms)
        return StartCache(self._host, folder, self._context.name, trust)

    def _start_backoff_of(self, settings: StartSettings, folder: Path) -> StartBackoff:
        policy = BackoffPolicy(settings.sound_ms, settings.most_wait_ms)
        return StartBackoff(folder, self._context.name, policy, self._host.clock.now)

    async def wait_before_start(self, stop: asyncio.Event) -> None:
        """Before anything is served or asked for: a process that dies again and again waits."""
        if self._start_backoff:
            await self._start_backoff.wait(stop)

    def start(self) -> None:
        """Reads what was written down, and begins to work."""
        self._milestones.start(self._start_list())
        self._context.tasks.run(self._milestones.watch())
        self._read_state()
        for part in (self.overrides, self.drain_limiter, self._health_checks, self._context.leases):
            if part:
                part.start()

    def _start_list(self) -> str:
        """Where the list of this start comes from: what was kept serves until the first one is heard."""
        given = self._host.config.known
        if self._start_cache:
            known = self._start_cache.read(given)
            self._host.config = replace(self._host.config, known=known)
            self._context.tasks.run(self._start_cache.run())
            if known is not given:
                return "kept"
        return "given" if given.get("endpoints") else "none"

    def _read_state(self) -> None:
        context = self._context
        try:
            if context.state.read(context.fence, context.overrides):
                counts = f"{len(context.overrides.entries)} words and {len(context.fence.positions)} terms"
                say("fleet", f"{counts} read back")
        except ValueError as error:
            say("fleet", f"{context.state.path} is left aside, the store must tell: {error}")

    async def stop(self) -> None:
        """Gives back what is held, but for a ticket: the restart that it was for goes on without this process."""
        context = self._context
        await context.leases.stop(keep=self.drain_limiter.permit if self.drain_limiter else "")
        context.tasks.cancel()
        if self._start_backoff:  # after the leases are free: a disk may take seconds
            await asyncio.to_thread(self._start_backoff.record_orderly_end)
        await context.leases.close()

    def view(self) -> str:
        """All of it for operators, as JSON; its keys are theirs."""
        context = self._context
        leases, overrides = context.leases, context.overrides
        now_us = boottime_us()
        jobs = {
            job: {"term": one.term, "left_ms": max(0, one.expires_us - now_us) // MICROS, "state": one.state}
            for job, one in leases.manager.candidates.items()
            if one.state != "idle" or job in leases.manager.jobs
        }
        entries = {
            server: {"out": entry.is_suspended, "revision": entry.revision}
            for server, entry in overrides.entries.items()
        }
        kept = self._start_cache.status if self._start_cache else "nothing is kept"
        refusals = self.overrides.receiver.refusals if self.overrides else []
        shown = {
            "name": context.name,
            "holder": context.holder,
            "store": leases.store_error or "answers",
            "members": sorted(context.membership.members(now_us)),
            "jobs": jobs,
            "seen": context.fence.positions,
            "refused": context.fence.rejected_count,
            "refusals": [refusal._asdict() for refusal in refusals],
            "words": entries,
            "start": {"says": kept, **self._milestones.view()},
            "wishes": len(overrides.pending),
            "digest": f"{overrides.digest:016x}",
            "ticket": self.drain_limiter.permit if self.drain_limiter else "",
        }
        return json.dumps(shown, indent=1)


def _load(path: str) -> tuple[CoordinationFile, Path]:
    """The operator's file, and the folder that it names. Raises ConfigError."""
    try:
        file = load(Path(path))
        folder = Path(file.folder)
        folder.mkdir(parents=True, exist_ok=True)
    except (InputFileError, OSError) as error:
        raise ConfigError(f"fleet: {error}") from error
    return file, folder


def _context_of(host: BalancerHost, file: CoordinationFile, folder: Path, path: str) -> CoordinationContext:
    """The parts that all work with. Raises ConfigError."""
    settings = host.config.settings
    name = host.config.name or f"balancer-{settings.index}"
    holder = f"{name}/{os.getpid()}-{boottime_us()}"
    try:
        store = build_store(file, holder)
    except OSError as error:
        raise ConfigError(f"fleet: {path}: store.token_file: {error}") from error
    membership = PeerLiveness(settings.index, range(settings.balancers), boottime_us())
    timing = timing_of(file)
    jobs = [OVERRIDES_JOB] if file.jobs.bans else []
    manager = LeaseManager(membership, timing, jobs, round(timing.lease_us * STEP_SHARE))
    tasks, fence = BackgroundTasks(), Fence()
    transport = DatagramTransport(membership, host.peers)
    return CoordinationContext(
        host=host,
        name=name,
        holder=holder,
        membership=membership,
        overrides=OverrideLog(),
        fence=fence,
        state=DurableState(folder, name),
        transport=transport,
        leases=LeaseRunner(store, manager, timing, fence, transport, tasks),
        tasks=tasks,
    )
