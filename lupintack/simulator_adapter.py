"""Runs many independent instances of the decision code for the simulator, over standard input and output."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from lupintack import simulator_wire
from lupintack.decisions.router import Router
from lupintack.interface import Action, Event
from lupintack.settings.errors import SettingsError
from lupintack.settings.instance import read_settings
from lupintack.simulator_wire import InstanceFailed, InstanceStarted, InstanceStopped, SimulatorWireError


class Instances:
    """The instances of this process by number."""

    def __init__(self) -> None:
        """Start without instances."""
        self.decoder = simulator_wire.Decoder()
        self.routers: dict[int, Router] = {}

    def handle_batch(self, body: bytes, count: int, now_ms: float) -> bytes:
        """Pass consecutive events of an instance to it in one call, and return the encoded actions."""
        replies: list[tuple[int, list[Action | InstanceFailed]]] = []
        batch: list[Event] = []
        current_instance = -1
        for instance, event in self.decoder.events(body, count):
            if instance != current_instance or isinstance(event, (InstanceStarted, InstanceStopped)):
                replies += self._handle_events(current_instance, now_ms, batch)
                batch = []
                current_instance = instance
            if isinstance(event, InstanceStarted):
                self.routers[instance] = Router(read_settings(event.settings), event.seed)
            elif isinstance(event, InstanceStopped):
                self.routers.pop(instance, None)
            else:
                batch.append(event)
        replies += self._handle_events(current_instance, now_ms, batch)
        return simulator_wire.encode(replies)

    def _handle_events(
        self, instance: int, now_ms: float, events: list[Event]
    ) -> list[tuple[int, list[Action | InstanceFailed]]]:
        """Return an instance's actions, or its failure; drop events for an unknown instance."""
        router = self.routers.get(instance)
        if router is None or not events:
            return []
        try:
            return [(instance, list(router.handle(now_ms, events)))]
        except Exception as error:  # noqa: BLE001 - one instance's failure must not end the others
            traceback.print_exc(file=sys.stderr)
            del self.routers[instance]
            return [(instance, [InstanceFailed(f"{type(error).__name__}: {error}")])]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raise SimulatorWireError or SettingsError for malformed input."""
    instances = Instances()
    while header := source.read(simulator_wire.HEADER.size):
        if len(header) < simulator_wire.HEADER.size:
            raise SimulatorWireError("the input ends inside a header")
        length, now_ms, count = simulator_wire.HEADER.unpack(header)
        body = source.read(length)
        if len(body) < length:
            raise SimulatorWireError("the input ends inside a frame")
        sink.write(instances.handle_batch(body, count, now_ms))
        sink.flush()


def main() -> int:
    """Run until the input ends; for malformed input, print one line and return exit code 2."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (SimulatorWireError, SettingsError) as error:
        print(f"lupintack.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
