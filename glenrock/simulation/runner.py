"""Many runs: points of a sweep times seeds times policies, in parallel processes.

Each run is fully determined by its experiment, seed and policy; where and in what order it is played changes
nothing. Finished runs are kept one file each, so that an interrupted sweep goes on where it stopped.
"""

from __future__ import annotations

import json
import signal
from collections.abc import Callable, Generator, Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from contextlib import contextmanager, suppress
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
from .spec import Experiment

WAIT_S = 0.1  # Ctrl-C is seen within this


@dataclass(frozen=True)
class Task:
    experiment: Experiment
    where: dict[str, Any]  # the sweep's values at this point
    seed: int
    policy: str

    @property
    def key(self) -> str:
        """Names the run: the same file, seed, policy and module text give the same key."""
        whole = msgspec.json.encode([self.experiment, self.seed, self.policy, module_text()], order="sorted")
        return xxh64_hexdigest(whole)


def module_text() -> str:
    """A digest of the decision module's text: results of an earlier text are not mixed with this one's."""
    folder = Path(glenrock.routing.__file__).parent
    return xxh64_hexdigest(b"".join(p.read_bytes() for p in sorted(folder.rglob("*.py"))))


def tasks(points: list[tuple[dict[str, Any], Experiment]], seeds: list[int], policies: list[str]) -> list[Task]:
    return [Task(e, where, seed, policy) for where, e in points for seed in seeds for policy in policies]


def play(task: Task) -> dict[str, Any]:
    summary = FleetSimulation(task.experiment, task.seed, task.policy).run()
    return {**summary, "where": task.where, "key": task.key}


def deaf() -> None:
    """Workers leave Ctrl-C to the one that started them."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run_all(
    todo: list[Task], jobs: int, kept: Path | None, resume: bool, done: Callable[[int], None]
) -> Generator[dict[str, Any], None, None]:
    """Summaries as they are finished, those kept from before first. Ctrl-C ends it; what is finished is kept."""
    left: list[Task] = []
    for task in todo:
        old = earlier(kept, task) if resume else None
        if old is None:
            left.append(task)
        else:
            done(1)
            yield old
    if jobs <= 1:
        for task in left:
            yield keep(kept, play(task))
            done(1)
        return
    pool = ProcessPoolExecutor(min(jobs, max(1, len(left))), get_context("spawn"), deaf)
    ended: SimpleQueue[Future] = SimpleQueue()
    try:
        # Danger: an exception raised wherever Ctrl-C happens to come would leave a lock of the pool held, and the
        # program would hang at its end. So it is noted, and raised where none is held.
        with noted_interrupt() as stopped:
            for task in left:
                pool.submit(play, task).add_done_callback(ended.put)
            for _ in left:
                future = None
                while future is None:
                    if stopped:
                        raise KeyboardInterrupt
                    with suppress(Empty):
                        future = ended.get(timeout=WAIT_S)
                yield keep(kept, future.result())
                done(1)
    except BaseException:
        # What is half played is lost in any case, and the pool's own shutdown would wait for all that is queued.
        for process in list((pool._processes or {}).values()):
            process.kill()
        pool.shutdown(wait=False, cancel_futures=True)
        raise
    pool.shutdown()


@contextmanager
def noted_interrupt() -> Iterator[list[int]]:
    """Ctrl-C is put into the list in place of being raised. Only the main thread hears of it at all."""
    stopped: list[int] = []
    if current_thread() is not main_thread():
        yield stopped
        return
    before = signal.signal(signal.SIGINT, lambda number, _: stopped.append(number))
    try:
        yield stopped
    finally:
        signal.signal(signal.SIGINT, before)


def keep(kept: Path | None, summary: dict[str, Any]) -> dict[str, Any]:
    if kept:
        record.file(kept / f"{summary['key']}.json", record.text_of(summary))
    return summary


def earlier(kept: Path | None, task: Task) -> dict[str, Any] | None:
    if kept is None:
        return None
    try:
        found = json.loads((kept / f"{task.key}.json").read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return None
    return found if found.get("key") == task.key else None


def order(found: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """The same order whatever came first."""
    return sorted(found, key=lambda s: (json.dumps(s["where"], sort_keys=True), s["policy"], s["seed"]))
