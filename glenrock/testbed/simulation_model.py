"""What the testbed takes from the simulation: its experiment files, workload, model of servers, and measures.

Other modules of the testbed import these names from here alone.
"""

from __future__ import annotations

from ..lab.engine import Engine as SimulationEngine
from ..lab.measure import Measure, rounded
from ..lab.measure import told as percentiles
from ..lab.model import shapes
from ..lab.model.client import Habits as ClientHabits
from ..lab.model.instance import Connection as ModelConnection
from ..lab.model.instance import Figures as ModelFigures
from ..lab.model.instance import Instance as ServerModel
from ..lab.model.instance import Shape as ServerShape
from ..lab.model.plan import Plan as Workload
from ..lab.model.plan import Row as PlannedClient
from ..lab.model.plan import plan as draw_workload
from ..lab.spec import Experiment, drawn, high, low, merge, put, raw_of, settings_of
from ..lab.spec import check as check_experiment
from ..lab.spec_faults import Fault, fault_name
from ..lab.spec_types import Above0R, Least0R, PartR, Strict
from ..lab.streams import Streams

__all__ = [
    "Above0R",
    "ClientHabits",
    "Experiment",
    "Fault",
    "Least0R",
    "Measure",
    "ModelConnection",
    "ModelFigures",
    "PartR",
    "PlannedClient",
    "ServerModel",
    "ServerShape",
    "SimulationEngine",
    "Streams",
    "Strict",
    "Workload",
    "check_experiment",
    "draw_workload",
    "drawn",
    "fault_name",
    "high",
    "low",
    "merge",
    "percentiles",
    "put",
    "raw_of",
    "rounded",
    "settings_of",
    "shapes",
]
