"""What the testbed takes from the simulation: its experiment files, workload, model of servers, and measures.

Other modules of the testbed import these names from here alone.
"""

from __future__ import annotations

from ..simulation.balancer_settings import make_settings
from ..simulation.engine import Engine as SimulationEngine
from ..simulation.measure import FaultPeriod, Measurements, rounded, summarize_histogram
from ..simulation.model.client_delays import ClientDelays
from ..simulation.model.requests import Client as ModelClient
from ..simulation.model.server import Connection as ModelConnection
from ..simulation.model.server import ServerModel, SetupAnswer
from ..simulation.model.server_parameters import ServerParameters, ServerShape
from ..simulation.model.server_shapes import draw_server_shapes, server_parameters
from ..simulation.model.workload import PlannedClient, Workload, draw_workload
from ..simulation.spec import put, raw_of
from ..simulation.spec_checks import check as check_experiment
from ..simulation.spec_faults import Fault
from ..simulation.spec_ranges import drawn, high, low
from ..simulation.spec_tables import Experiment
from ..simulation.spec_types import Above0R, Least0R, PartR, Strict
from ..simulation.streams import Streams

__all__ = [
    "Above0R",
    "ClientDelays",
    "Experiment",
    "Fault",
    "FaultPeriod",
    "Least0R",
    "Measurements",
    "ModelClient",
    "ModelConnection",
    "PartR",
    "PlannedClient",
    "ServerModel",
    "ServerParameters",
    "ServerShape",
    "SetupAnswer",
    "SimulationEngine",
    "Streams",
    "Strict",
    "Workload",
    "check_experiment",
    "draw_server_shapes",
    "draw_workload",
    "drawn",
    "high",
    "low",
    "make_settings",
    "put",
    "raw_of",
    "rounded",
    "server_parameters",
    "summarize_histogram",
]
