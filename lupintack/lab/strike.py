"""What a fault does to the network, the same for each kind of fleet; processes are each one's own."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lupintack.lab.clock import Clock
from lupintack.lab.faults import Fault
from lupintack.lab.network import Network, Weather

SECOND = 1_000_000


def strike(
    net: Network, clock: Clock, fault: Fault, sites: Iterable[str], islands: Callable[[dict[str, int]], None]
) -> Callable[[], None] | None:
    """Carries out a fault of the network, and says how it ends; None for one of another kind."""
    match fault.kind:
        case "loss" | "delay" | "double":
            net.weather = Weather(
                fault.size if fault.kind == "loss" else 0.0,
                int(fault.size * SECOND) if fault.kind == "delay" else 0,
                *((fault.size, fault.size) if fault.kind == "double" else (0.0, 0.0)),
            )
            return lambda: setattr(net, "weather", Weather())
        case "oneway":
            pairs = [(a, b) for a, _, b in (pair.partition(">") for pair in fault.who)]
            net.cut_pairs.update(pairs)
            return lambda: net.cut_pairs.difference_update(pairs)
        case "mute" | "deaf":
            group = net.mute if fault.kind == "mute" else net.deaf
            group.update(fault.who)
            return lambda: group.difference_update(fault.who)
        case "site":
            islands({fault.who[0]: 1})
        case "flap":
            for n in range(fault.for_us // SECOND):
                clock.call(clock.now + n * SECOND, islands, {fault.who[0]: 1} if n % 2 == 0 else {})
        case "halves" | "islands":
            parts, names = 2 if fault.kind == "halves" else 3, sorted(set(sites))
            split = {site: n * parts // len(names) for n, site in enumerate(names)}
            islands(split)
            if parts == 3:  # they heal one after another
                rest = {site: n for site, n in split.items() if n == 2}
                clock.call(clock.now + fault.for_us // 2, islands, rest)
        case _:
            return None
    return lambda: islands({})
