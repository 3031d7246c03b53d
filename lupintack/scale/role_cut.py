"""Cost of the membership to the routers of a region that is cut off, by fleet size.

`cpu_us` and `bytes` are per router of that region and second during the cut. The details have the other
routers in the same interval, both groups after the cut, and the number of distinct views at the end.
"""

from __future__ import annotations

from itertools import pairwise

from lupintack.lab.faults import Fault
from lupintack.scale.membership_world import (
    MAX_REGIONS,
    MIN_ROUTERS_PER_REGION,
    SECOND_US,
    JoinedWorld,
    Phase,
    region_count,
)
from lupintack.scale.role_membership import ENTRY_BYTES, running_membership
from lupintack.scale.slope import Parameters, Role, Sample, deep_bytes

IDLE_FROM_S = 4
CUT_FROM_S = 8
CUT_TO_S = 38
HEALED_TO_S = 58
PHASES_S = (IDLE_FROM_S, CUT_FROM_S, CUT_TO_S, HEALED_TO_S)


class CutSubject:
    """Fleets of one size, one for each repeat, each with the next seed."""

    def __init__(self, parameters: Parameters) -> None:
        """Prepare runs of the size and seed of `parameters`."""
        self.size, self.seed = parameters.size, parameters.seed
        self.regions = region_count(self.size)
        self.world: JoinedWorld | None = None

    def sample(self) -> Sample:
        """Measure one run."""
        self.world = None  # frees the previous fleet first
        region = f"site{self.regions - 1}"
        length_us = (CUT_TO_S - CUT_FROM_S) * SECOND_US
        cut = Fault(CUT_FROM_S * SECOND_US, "site", length_us, (region,))
        world = self.world = JoinedWorld(self.seed, self.size, [cut], self.regions)
        self.seed += 1
        world.start_joined()
        world.schedule(PHASES_S)
        world.run_to(HEALED_TO_S * SECOND_US)
        idle, during, after = pairwise(world.marks)
        cut_off, rest = Phase(*during, world, region), Phase(*during, world, region, inside=False)
        healing, healing_rest = Phase(*after, world, region), Phase(*after, world, region, inside=False)
        details = {
            "routers_cut_off": float(sum(host.site == region for host in world.hosts.values())),
            "idle_cpu_us": Phase(*idle, world).cpu_us_per_s,
            "rest_cpu_us": rest.cpu_us_per_s,
            "rest_bytes": rest.bytes_per_s,
            "healing_cpu_us": healing.cpu_us_per_s,
            "healing_bytes": healing.bytes_per_s,
            "healing_rest_cpu_us": healing_rest.cpu_us_per_s,
            "healing_rest_bytes": healing_rest.bytes_per_s,
            "healing_exchanges": float(healing.exchanges),
            "views_at_end": float(len({world.view_id(host) for host in world.running()})),
            "false_removals": float(world.result.false_removals),
        }
        rounded = {name: round(value, 3) for name, value in details.items()}
        return Sample(round(cut_off.cpu_us_per_s, 3), round(cut_off.bytes_per_s, 1), 0.0, rounded)

    def state_bytes(self) -> int:
        """Return the memory of one router's view, failure arbiter and detector."""
        assert self.world is not None
        membership = running_membership(self.world)
        return deep_bytes(membership.view, membership.state.arbiter, membership.detector.observed)

    def close(self) -> None:
        """Free the fleet."""
        self.world = None


ROLE = Role(
    name="cut",
    per=f"router-second in a cut-off region of {MAX_REGIONS}",
    size_label="routers",
    make=CutSubject,
    memory_bytes=lambda parameters: 60_000_000 + ENTRY_BYTES * parameters.size**2,
    min_size=2 * MIN_ROUTERS_PER_REGION,
)
