"""Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

from __future__ import annotations

import os
import sys
import tempfile
import traceback
from collections.abc import Callable
from pathlib import Path

from review.common.platform import Router
from review.common.record import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Case:
    """The record, the temporary folder and the processes of a case."""

    def __init__(self, folder: Path, tmp: Path) -> None:
        """`folder`: of the case, for its record; `tmp`: private, removed at the end."""
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.tmp = tmp
        self.router_tmp = tmp / "tmp"
        self.router_tmp.mkdir()
        self.routers: list[Router] = []
        self.record.write("case", f"TROUBLE={int(self.trouble)}")

    def router(self, name: str, config: dict[str, object], **environ: str) -> Router:
        """Start a router process and wait until it is ready."""
        router = Router(name, self.router_tmp, config, self.record)
        self.routers.append(router)
        router.start(**environ)
        router.wait_ready()
        return router


def main(file: str, play: Callable[[Case], list[str]]) -> None:
    """Play a case whose function returns what broke the rule; exit with the result."""
    with tempfile.TemporaryDirectory(prefix="lupintack-review-") as tmp:
        case = Case(Path(file).parent, Path(tmp))
        try:
            broken = play(case)
            code = BROKEN if broken else HELD
            for text in broken:
                case.record.write("broken", text)
                print(f"broken: {text}")
        except Exception:  # noqa: BLE001 - anything that keeps the case from its end
            case.record.write("case", f"could not run: {traceback.format_exc()}")
            traceback.print_exc()
            code = CANNOT_RUN
        finally:
            for router in case.routers:
                router.kill()
        case.record.write("case", f"exit code {code}")
        print(f"exit code {code}")
        sys.stdout.flush()
    os._exit(code)
