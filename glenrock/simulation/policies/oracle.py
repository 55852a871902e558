"""A yardstick, not a way to serve: it sees the true state of every instance and link.

Each request goes to the instance with the least load over what it can do now, among those that its balancer
reaches, with what is being set up counted; a cold one only as far as half of its budget. Nobody is refused and
nobody is moved for load. No balancer can know this; what it reaches says how much is left to gain, and
is not the most that is possible.
"""

from __future__ import annotations

from ..fleet_state import FleetState
from ..model.balancer import Host
from .simple import Asked, Known, Simple

CROSSING = 0.03  # load that a crossing must gain
GROUP = 8.0  # times the load that a group costs where it is new: the whole fleet pays for it
COLD_PART = 0.5  # of the cold rule's budget


class Oracle(Simple):
    world: FleetState
    host: Host

    def see(self, world: FleetState, host: Host) -> None:
        """Called by the day that it is played in."""
        self.world, self.host = world, host

    def pick(self, f: Asked, among: list[Known]) -> Known:
        w = self.world
        usual = w.plan.usual_load

        def cost(s: Known) -> float:
            i = w.instances[s.id]
            if not i.up or i.draining or not i.slow or not w.links.open(self.host.zone, i.shape.zone):
                return 1e9
            whole = i.capacity(self.now)
            if i.warmth(self.now) < 1:
                rate = i.capacity(self.now) / (i.shape.warm_us / 1e6)
                budget = COLD_PART * i.figures.cold_multiple * rate * i.figures.cold_window_us / 1e6
                if i.sent_load + usual > budget:
                    return 1e6
            load = (i.demand + i.piled + len(i.opening) * usual) / whole
            load += GROUP * i.figures.group_load / whole if f.event.group not in i.groups else 0.0
            return load + (CROSSING if i.shape.zone != self.host.zone else 0.0)

        return min(among, key=cost)
