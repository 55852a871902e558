"""What the testbed takes from the simulation: its experiment files, workload, model of servers, and measures.

Other modules of the testbed import these names from here alone.
"""

from __future__ import annotations

from ..simulation.engine import Engine as SimulationEngine
from ..simulation.measure import Measure, rounded
from ..simulation.measure import told as percentiles
from ..simulation.model import shapes
from ..simulation.model.client import Habits as ClientHabits
from ..simulation.model.instance import Connection as ModelConnection
from ..simulation.model.instance import Figures as ModelFigures
from ..simulation.model.instance import Instance as ServerModel
from ..simulation.model.instance import SetupAnswer
from ..simulation.model.instance import Shape as ServerShape
from ..simulation.model.plan import Plan as Workload
from ..simulation.model.plan import Row as PlannedClient
from ..simulation.model.plan import plan as draw_workload
from ..simulation.model.requests import Client as ModelClient
from ..simulation.spec import Experiment, drawn, high, low, put, raw_of, settings_of
from ..simulation.spec import check as check_experiment
from ..simulation.spec_faults import Fault
from ..simulation.spec_types import Above0R, Least0R, PartR, Strict
from ..simulation.streams import Streams

__all__ = [
    "Above0R",
    "ClientHabits",
    "Experiment",
    "Fault",
    "Least0R",
    "Measure",
    "ModelClient",
    "ModelConnection",
    "ModelFigures",
    "PartR",
    "PlannedClient",
    "ServerModel",
    "ServerShape",
    "SetupAnswer",
    "SimulationEngine",
    "Streams",
    "Strict",
    "Workload",
    "check_experiment",
    "draw_workload",
    "drawn",
    "high",
    "low",
    "percentiles",
    "put",
    "raw_of",
    "rounded",
    "settings_of",
    "shapes",
]
