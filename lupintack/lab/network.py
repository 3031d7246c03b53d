"""A virtual network between named hosts, with delay, loss, duplicates, reordering and one-way cuts."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

MAX_REORDER_DELAY_US = 400_000


@dataclass(slots=True)
class LinkConditions:
    """Faults applied to every datagram of the network."""

    loss_share: float = 0.0
    delay_us: int = 0  # added to each direction
    duplicate_share: float = 0.0
    reorder_share: float = 0.0


class Network:
    """Sites, cuts and link conditions."""

    def __init__(
        self, random: Random, sites: dict[str, str], local_delay_us: int = 300, remote_delay_us: int = 12_000
    ) -> None:
        """Start without faults; `sites` maps hosts to sites; delays apply within a site and between sites."""
        self.random = random
        self.sites = sites
        self.local_delay_us, self.remote_delay_us = local_delay_us, remote_delay_us
        self.conditions = LinkConditions()
        self.cut_pairs: set[tuple[str, str]] = set()  # sender and receiver
        self.deaf: set[str] = set()  # hosts that receive nothing
        self.mute: set[str] = set()  # hosts whose datagrams are all dropped
        self.islands: dict[str, int] = {}  # by site or host; hosts on different islands are cut off

    def island_of(self, name: str) -> int:
        """Return the island of a host."""
        return self.islands.get(name, self.islands.get(self.sites[name], 0))

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether all datagrams from the sender to the receiver are dropped."""
        if (sender, receiver) in self.cut_pairs or sender in self.mute or receiver in self.deaf:
            return True
        return bool(self.islands) and self.island_of(sender) != self.island_of(receiver)

    def delivery_delays(self, sender: str, receiver: str) -> list[int]:
        """Return the delays, in microseconds, of the zero to two copies of a datagram that arrive."""
        if self.is_cut(sender, receiver):
            return []
        conditions, random = self.conditions, self.random
        is_duplicated = conditions.duplicate_share and random.random() < conditions.duplicate_share
        delays_us = []
        for _ in range(2 if is_duplicated else 1):
            if conditions.loss_share and random.random() < conditions.loss_share:
                continue
            is_local = self.sites[sender] == self.sites[receiver]
            base_us = self.local_delay_us if is_local else self.remote_delay_us
            delay_us = int(base_us * (1.0 + random.random())) + conditions.delay_us
            if conditions.reorder_share and random.random() < conditions.reorder_share:
                delay_us += random.randrange(MAX_REORDER_DELAY_US)
            delays_us.append(delay_us)
        return delays_us
