"""The state of one run: the fleet, its links and clients, and what is counted. `Day` adds what happens to it."""

from __future__ import annotations

from typing import Any

from .engine import Engine, HeapEngine
from .measure import Measure
from .model import plan as plans
from .model import shapes as model_shapes
from .model.balancer import Host
from .model.client import Habits
from .model.feed import Feed
from .model.front import Front
from .model.instance import Instance
from .model.links import Links
from .model.requests import Attempt, Client
from .model.store import Store
from .rules import Judge
from .shards import Shared
from .spec import Experiment, drawn
from .streams import Streams

S = 1_000_000


class FleetState:
    """What every part of a day reads. `hosts`, `front` and `feed` are set by `Day`."""

    hosts: list[Host]
    front: Front
    feed: Feed

    def __init__(self, e: Experiment, seed: int, policy: str, engine: Engine | None) -> None:
        self.e = e = drawn(e, seed)
        self.seed, self.policy = seed, policy
        self.streams = streams = Streams(seed)
        self.begin_us = round(e.clock_start_s * S)
        self.engine = engine or HeapEngine(self.begin_us)
        self.length = round(float(e.length_s) * S)
        self.zones = list(e.fleet.zones)
        self.shapes = shapes = model_shapes.shapes(e, streams)
        capacity = sum(s.cores * s.speed for s in shapes) * S
        self.plan = plans.plan(e, streams, capacity)
        self.judge = Judge(self.begin_us)
        self.measure = Measure(e, self.plan.asked, self.begin_us, len(shapes))
        self.links = Links(e.network, streams)
        self.habits = Habits(e.clients, streams)
        self.store = Store(float(e.store.headroom) * self.plan.per_s, float(e.store.call_ms) * 1000)
        self.setup_draw = streams.exponentials("set-up work")
        self.noise = streams.normals("report noise")
        self.errs: dict[str, float] = {}  # instances that answer ERR to set-ups, and the chance of it
        self.err_draw = streams.uniforms("errors")
        self.answer_grace_us = round(e.rules.answer_grace_ms * 1000)
        self.drain_grace_us = round(e.rules.drain_grace_ms * 1000)
        self.max_attempts = e.platform.max_attempts
        self.dial_us = round(e.platform.dial_timeout_ms * 1000)
        self.silence_us = round(float(e.network.silence_s) * S)
        self.give_up_us = [round(float(c.give_up_ms) * 1000) for c in e.classes]
        self.setup_us = [float(c.setup_ms) * 1000 for c in e.classes]
        self.figures = model_shapes.figures(e)
        self.aim_us = self.figures.shortest_us
        self.instances: dict[str, Instance[Attempt]] = {}
        self.slow_told: set[tuple[str, int]] = set()
        self.shards: Shared | None = None
        self.faults: list[dict[str, Any]] = []
        self.standing: dict[Client, None] = {}
        self.over = False
        self.failure = ""
