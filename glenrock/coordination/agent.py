"""Builds, starts and stops the coordination of one balancer.

The module is imported only if the configuration names a coordination file. Clients do not depend on coordination:
without the store, the balancer goes on serving them, and only the jobs that need a lease stop.
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import replace
from pathlib import Path

from ..config import ConfigError
from ..log import get_logger
from ..toml_file import InputFileError
from .background_tasks import BackgroundTasks
from .config import CoordinationFile, StartSettings, StoreKind, load
from .context import CoordinationContext
from .drain_limiter import DrainLimiter
from .durable_state import DurableState
from .host import BalancerHost
from .lease_runner import POLL_LEASE_FRACTION, LeaseRunner
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
from .state_writer import StateWriter
from .status_view import build_view
from .transport import DatagramTransport
from .warm_start.milestones import ListSource, StartMilestones
from .warm_start.start_backoff import BackoffPolicy, StartBackoff
from .warm_start.start_cache import StartCache
from .warm_start.start_record import RecordValidity

logger = get_logger(__name__)

MS_US = 1000
SECOND_MS = 1000
RETRY_LEASE_DIVISOR = 10  # lease duration / delay after a rejected request
BACKOFF_LEASE_DIVISOR = 5  # lease duration / delay after a request that timed out
# Interval between the requests of two members, as a fraction of the lease duration. With a shorter one, the next member
# would request the lease before it has read that the first one acquired it.
STAGGER_LEASE_FRACTION = POLL_LEASE_FRACTION


def build_timing(file: CoordinationFile) -> LeaseTiming:
    """Returns the durations of a lease that the coordination file sets."""
    lease_us = round(file.lease.lease_ms * MS_US)
    return LeaseTiming(
        lease_us=lease_us,
        max_drift_fraction=file.lease.drift,
        request_timeout_us=round(file.lease.ask_ms * MS_US),
        retry_interval_us=lease_us // RETRY_LEASE_DIVISOR,
        unreachable_backoff_us=lease_us // BACKOFF_LEASE_DIVISOR,
    )


def build_store(file: CoordinationFile, holder: str) -> LeaseStore:
    """Returns the lease store that the coordination file selects. Raises OSError if its token cannot be read."""
    settings = file.store
    lock_delay_us = round(settings.lock_delay_ms * MS_US)
    if settings.kind is StoreKind.SQLITE:
        return AsyncSqliteStore(Path(settings.path), holder, lock_delay_us, file.lease.ask_ms / SECOND_MS)
    from .leases.consul_store import ConsulStore  # imports aiohttp, which is an optional dependency

    token = Path(settings.token_file).read_text().strip() if settings.token_file else ""
    lease_us = round(file.lease.lease_ms * MS_US)
    return ConsulStore(settings.addresses, holder, lease_us, settings.prefix, lock_delay_us, token)


class CoordinationAgent:
    """The coordination of one balancer.

    Attributes:
        overrides: replicates overrides among the balancers; None if the coordination file disables that.
        drain_limiter: the drain permit of this balancer; None if the coordination file sets no limit.
    """

    def __init__(self, host: BalancerHost, path: str) -> None:
        """Builds the parts that the coordination file at `path` enables. Raises ConfigError."""
        file, folder = _load(path)
        self._host = host
        self._context = _build_context(host, file, folder, path)
        jobs = file.jobs
        self.overrides = OverrideReplication(self._context) if jobs.bans else None
        self.drain_limiter = DrainLimiter(self._context, jobs.turnstile) if jobs.turnstile else None
        self._health_checks = ShardedHealthChecks(self._context) if jobs.probe_shards else None
        self._start_cache = self._build_start_cache(file.start, folder) if file.start.keep else None
        self._start_backoff = self._build_start_backoff(file.start, folder) if file.start.spaced else None
        self._milestones = StartMilestones(host)

    def _build_start_cache(self, settings: StartSettings, folder: Path) -> StartCache:
        validity = RecordValidity(settings.list_ms, settings.half_ms)
        return StartCache(self._host, folder, self._context.name, validity)

    def _build_start_backoff(self, settings: StartSettings, folder: Path) -> StartBackoff:
        policy = BackoffPolicy(settings.sound_ms, settings.most_wait_ms)
        return StartBackoff(folder, self._context.name, policy, self._host.clock.now_ms)

    async def wait_before_start(self, stop: asyncio.Event) -> None:
        """Delays the start of a balancer that crashed repeatedly; awaited before it serves or calls anything."""
        if self._start_backoff:
            await self._start_backoff.wait(stop)

    def start(self) -> None:
        """Reads the cached endpoint list and the durable state, and starts the tasks."""
        self._milestones.start(self._load_cached_list())
        self._context.tasks.run(self._milestones.watch())
        self._context.state.read()
        for part in (self.overrides, self.drain_limiter, self._health_checks, self._context.leases):
            if part:
                part.start()

    def _load_cached_list(self) -> ListSource:
        """Puts the cached endpoint list into the configuration if it is newer. Returns the source of the list."""
        configured = self._host.config.raw_cached_endpoints
        if self._start_cache:
            table = self._start_cache.read(configured)
            self._host.config = replace(self._host.config, raw_cached_endpoints=table)
            self._context.tasks.run(self._start_cache.run())
            if table is not configured:
                return ListSource.CACHED
        return ListSource.CONFIGURED if configured.get("endpoints") else ListSource.NONE

    async def stop(self) -> None:
        """Releases all leases except the drain permit, which must cover a restart that follows, and ends the tasks."""
        context = self._context
        await context.leases.step_down_from_all(except_job=self._permit_job())
        context.tasks.cancel()
        if self._start_backoff:  # after the leases are released, since the write to disk may take seconds
            await asyncio.to_thread(self._start_backoff.record_graceful_exit)
        await context.leases.close()

    def _permit_job(self) -> str | None:
        return self.drain_limiter.permit_job if self.drain_limiter else None

    def view(self) -> str:
        """Returns the operators' view of the coordination, as JSON."""
        cache_status = self._start_cache.status if self._start_cache else "disabled"
        return build_view(
            self._context,
            rejections=self.overrides.receiver.rejections if self.overrides else [],
            cache_status=cache_status,
            start=self._milestones.progress(),
            permit_job=self._permit_job(),
        )


def _load(path: str) -> tuple[CoordinationFile, Path]:
    """Reads the coordination file, and creates the folder that it names. Raises ConfigError."""
    try:
        file = load(Path(path))
        folder = Path(file.folder)
        folder.mkdir(parents=True, exist_ok=True)
    except (InputFileError, OSError) as error:
        raise ConfigError(f"fleet: {error}") from error
    return file, folder


def _build_context(host: BalancerHost, file: CoordinationFile, folder: Path, path: str) -> CoordinationContext:
    """Builds the shared objects. Raises ConfigError if the store's token cannot be read."""
    settings = host.config.settings
    name = host.config.name or f"balancer-{settings.index}"
    holder = f"{name}/{os.getpid()}-{boottime_us()}"
    try:
        store = build_store(file, holder)
    except OSError as error:
        raise ConfigError(f"fleet: {path}: store.token_file: {error}") from error
    membership = PeerLiveness(settings.index, range(settings.balancers), boottime_us())
    timing = build_timing(file)
    jobs = [OVERRIDES_JOB] if file.jobs.bans else []
    manager = LeaseManager(membership, timing, jobs, round(timing.lease_us * STAGGER_LEASE_FRACTION))
    tasks, fence, overrides = BackgroundTasks(), Fence(), OverrideLog()
    transport = DatagramTransport(membership, host.peers)
    return CoordinationContext(
        host=host,
        name=name,
        holder=holder,
        membership=membership,
        overrides=overrides,
        fence=fence,
        state=StateWriter(DurableState(folder, name), fence, overrides, host.clock, host.connections.metrics),
        transport=transport,
        leases=LeaseRunner(store, manager, timing, fence, transport, tasks),
        tasks=tasks,
    )
