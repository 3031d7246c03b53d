"""Faults of the virtual network, shared by the simulations of the membership and of budgets."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lupintack.lab.clock import VirtualClock
from lupintack.lab.faults import Fault
from lupintack.lab.network import LinkConditions, Network

SECOND_US = 1_000_000


def inject_network_fault(
    network: Network,
    clock: VirtualClock,
    fault: Fault,
    sites: Iterable[str],
    set_islands: Callable[[dict[str, int]], None],
) -> Callable[[], None] | None:
    """Begin a network fault and return the function that ends it; None for other kinds of fault."""
    match fault.kind:
        case "loss" | "delay" | "double":
            network.conditions = _conditions(fault)
            return lambda: setattr(network, "conditions", LinkConditions())
        case "oneway":
            pairs = [(sender, receiver) for sender, _, receiver in (p.partition(">") for p in fault.targets)]
            network.cut_pairs.update(pairs)
            return lambda: network.cut_pairs.difference_update(pairs)
        case "mute" | "deaf":
            group = network.mute if fault.kind == "mute" else network.deaf
            group.update(fault.targets)
            return lambda: group.difference_update(fault.targets)
        case "site":
            set_islands({fault.targets[0]: 1})
        case "flap":
            for second in range(fault.duration_us // SECOND_US):
                islands = {fault.targets[0]: 1} if second % 2 == 0 else {}
                clock.schedule(clock.now_us + second * SECOND_US, set_islands, islands)
        case "halves":
            set_islands(_split(sites, 2))
        case "islands":
            islands = _split(sites, 3)
            set_islands(islands)
            # Two islands are joined halfway through, the third at the end.
            last = {site: island for site, island in islands.items() if island == 2}
            clock.schedule(clock.now_us + fault.duration_us // 2, set_islands, last)
        case _:
            return None
    return lambda: set_islands({})


def _conditions(fault: Fault) -> LinkConditions:
    if fault.kind == "loss":
        return LinkConditions(loss_share=fault.magnitude)
    if fault.kind == "delay":
        return LinkConditions(delay_us=int(fault.magnitude * SECOND_US))
    return LinkConditions(duplicate_share=fault.magnitude, reorder_share=fault.magnitude)


def _split(sites: Iterable[str], parts: int) -> dict[str, int]:
    """Return the island of each site, for islands of about the same number of sites."""
    names = sorted(set(sites))
    return {site: number * parts // len(names) for number, site in enumerate(names)}
