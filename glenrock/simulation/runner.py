"""Runs each combination of sweep point, seed and policy, in parallel processes.

A run depends on its experiment, seed and policy alone, and not on the process or the order in which it runs. The
summary of each finished run is cached in a file, so that an interrupted sweep can be resumed.
"""

from __future__ import annotations

import json
import signal
from collections.abc import Callable, Generator, Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from contextlib import closing, contextmanager, suppress
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from queue import Empty, SimpleQueue
from threading import current_thread, main_thread
from typing import Any

import msgspec
from xxhash import xxh64_hexdigest

import glenrock.routing

from . import record
from .fleet_simulation import FleetSimulation
from .spec_tables import Experiment

INTERRUPT_CHECK_S = 0.1


@dataclass(frozen=True)
class Task:
    """A run that is to be executed.

    Attributes:
        sweep_point: the values of the axes of the sweep, by path.
    """

    experiment: Experiment
    sweep_point: dict[str, Any]
    seed: int
    policy: str

    @property
    def key(self) -> str:
        """The cache key of the run: a digest of its experiment, seed and policy, and of the routing source code."""
        values = [self.experiment, self.seed, self.policy, routing_digest()]
        return xxh64_hexdigest(msgspec.json.encode(values, order="sorted"))


def routing_digest() -> str:
    """Returns a digest of the source of `glenrock.routing`, so that summaries of other versions are not reused."""
    package = Path(glenrock.routing.__file__).parent
    return xxh64_hexdigest(b"".join(path.read_bytes() for path in sorted(package.rglob("*.py"))))


def make_tasks(points: list[tuple[dict[str, Any], Experiment]], seeds: list[int], policies: list[str]) -> list[Task]:
    """Returns the runs of all points, seeds and policies."""
    return [
        Task(experiment, sweep_point, seed, policy)
        for sweep_point, experiment in points
        for seed in seeds
        for policy in policies
    ]


def run_task(task: Task) -> dict[str, Any]:
    """Executes a run. Returns its summary, with its point of the sweep and its cache key."""
    summary = FleetSimulation(task.experiment, task.seed, task.policy).run()
    return {**summary, "where": task.sweep_point, "key": task.key}


def _ignore_interrupts() -> None:
    """Leaves Ctrl-C to the parent process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run_all(
    tasks: list[Task], jobs: int, cache: Path | None, resume: bool, on_run_done: Callable[[int], None]
) -> Generator[dict[str, Any], None, None]:
    """Yields the summaries of all runs as they finish, cached ones first.

    Args:
        tasks: the runs.
        jobs: number of processes.
        cache: folder of cached summaries; None for no cache.
        resume: whether cached summaries are reused.
        on_run_done: called with 1 for each finished run.

    Raises:
        KeyboardInterrupt: at Ctrl-C; finished runs stay in the cache.
    """
    pending: list[Task] = []
    for task in tasks:
        cached = _read_cached(cache, task) if resume else None
        if cached is None:
            pending.append(task)
        else:
            on_run_done(1)
            yield cached
    # The inner generator is closed with this one, so that the processes of the pool end with it.
    with closing(_run_serially(pending) if jobs <= 1 else _run_in_parallel(pending, jobs)) as summaries:
        for summary in summaries:
            yield _write_cached(cache, summary)
            on_run_done(1)


def _run_serially(tasks: list[Task]) -> Generator[dict[str, Any], None, None]:
    for task in tasks:
        yield run_task(task)


def _run_in_parallel(tasks: list[Task], jobs: int) -> Generator[dict[str, Any], None, None]:
    pool = ProcessPoolExecutor(min(jobs, max(1, len(tasks))), get_context("spawn"), _ignore_interrupts)
    finished: SimpleQueue[Future[dict[str, Any]]] = SimpleQueue()
    try:
        # A KeyboardInterrupt raised at an arbitrary point could leave a lock of the pool held, and the program would
        # hang on exit. The interrupt is recorded, and raised where no lock is held.
        with deferred_interrupt() as interrupts:
            for task in tasks:
                pool.submit(run_task, task).add_done_callback(finished.put)
            for _ in tasks:
                yield _next_finished(finished, interrupts).result()
    except BaseException:
        # Runs in progress are lost anyway, and the shutdown of the pool would wait for all queued runs.
        for process in list((pool._processes or {}).values()):
            process.kill()
        pool.shutdown(wait=False, cancel_futures=True)
        raise
    pool.shutdown()


def _next_finished(finished: SimpleQueue[Future[dict[str, Any]]], interrupts: list[int]) -> Future[dict[str, Any]]:
    """Waits for the next finished run. Raises KeyboardInterrupt after Ctrl-C."""
    while True:
        if interrupts:
            raise KeyboardInterrupt
        with suppress(Empty):
            return finished.get(timeout=INTERRUPT_CHECK_S)


@contextmanager
def deferred_interrupt() -> Iterator[list[int]]:
    """Records Ctrl-C in a list instead of raising KeyboardInterrupt. Only the main thread can handle signals."""
    interrupts: list[int] = []
    if current_thread() is not main_thread():
        yield interrupts
        return
    previous_handler = signal.signal(signal.SIGINT, lambda number, _: interrupts.append(number))
    try:
        yield interrupts
    finally:
        signal.signal(signal.SIGINT, previous_handler)


def _write_cached(cache: Path | None, summary: dict[str, Any]) -> dict[str, Any]:
    if cache:
        record.write_file(cache / f"{summary['key']}.json", record.json_text(summary))
    return summary


def _read_cached(cache: Path | None, task: Task) -> dict[str, Any] | None:
    if cache is None:
        return None
    try:
        summary: dict[str, Any] = json.loads((cache / f"{task.key}.json").read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return None
    return summary if summary.get("key") == task.key else None


def sort_summaries(summaries: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sorts summaries by point, policy and seed."""
    return sorted(
        summaries,
        key=lambda summary: (json.dumps(summary["where"], sort_keys=True), summary["policy"], summary["seed"]),
    )
