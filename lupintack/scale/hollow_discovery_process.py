"""A process of the discovery stand-in, which publishes the events it receives as frames on standard input."""

from __future__ import annotations

import json
import os
import signal
import sys

from lupintack.scale import hollow_messages as messages
from lupintack.standins.discovery_server import DiscoveryServer


def main() -> None:
    """Serve watchers until standard input ends."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the coordinator ends this process
    server = DiscoveryServer()
    sys.stdout.buffer.write(messages.encode_frame(messages.Address(server.address)))
    sys.stdout.buffer.flush()
    while (raw := messages.read_frame(sys.stdin.buffer)) is not None:
        command = messages.command_decoder.decode(raw)
        if isinstance(command, messages.Publish):
            server.publish(json.loads(command.event))
    os._exit(0)  # the watchers' threads never end


if __name__ == "__main__":
    main()
