"""A process that starts real routers next to the hollow ones, and ends them when its standard input ends.

They watch a discovery stand-in of their own, which publishes nothing, and are full members of the fleet.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

from lupintack.scale import hollow_messages as messages
from lupintack.standins.routers import Routers


def operator_tables(setup: messages.Setup) -> tuple[dict[str, Any], dict[str, dict[str, Any]]]:
    """Return the [membership] table of the real routers and their other tables."""
    by_name = {router.name: router for router in setup.routers}
    seeds = [by_name[name].address for name in setup.voters]
    membership = {"fleet": setup.fleet, "secret": setup.secret, "seeds": seeds, "site": setup.routers[0].site}
    totals = {budget.name: budget.total for budget in setup.budgets}
    percent = setup.budgets[0].reserved_per_mille // 10
    budgets = {"enabled": True, "voters": list(setup.voters), "at_once": totals, "floor_percent": percent}
    regions = {
        region.name: {"voters": list(region.voters), "sites": list(region.sites)} for region in setup.regions
    }
    return membership, {"budgets": budgets | ({"regions": regions} if regions else {})}


def main() -> None:
    """Start the routers of the first frame, and wait for the end of standard input."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the coordinator ends this process
    raw = messages.read_frame(sys.stdin.buffer)
    if raw is None:
        return
    setup = messages.command_decoder.decode(raw)
    assert isinstance(setup, messages.Setup)
    membership, tables = operator_tables(setup)
    with tempfile.TemporaryDirectory(dir=setup.tmp) as folder:
        routers = Routers(Path(folder), len(setup.assigned), terms=membership, tables=lambda name: tables)
        try:
            routers.start()
            while os.read(sys.stdin.fileno(), 1):
                pass
        finally:
            routers.close()
    os._exit(0)  # the threads of the stand-ins never end


if __name__ == "__main__":
    main()
