"""Budget messages as datagrams: `B`, the version, the fleet's keyed code, MessagePack.

What can't be read is dropped.
"""

from __future__ import annotations

import hmac
from typing import Any

import msgspec

from lupintack.budgets.messages import (
    Epoch,
    LeaseGrant,
    LeaseRequest,
    Message,
    Redirect,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from lupintack.membership.messages import CODE, HEAD, NAME_MOST, Bad, Codec, Drop

MAGIC, VERSION = b"B", 1
KINDS: tuple[type, ...] = (VoteRequest, VoteReply, VoteRelease, LeaseRequest, LeaseGrant, Redirect)
MAX_BUDGETS = 16
MAX_AMOUNT = 1 << 60


class Envelope(msgspec.Struct, array_like=True):
    """One datagram's: who speaks, where it is answered, and a message by its kind."""

    sender: str
    address: str
    kind: int
    body: msgspec.Raw


class BudgetCodec:
    """Words and reads the messages of one fleet."""

    def __init__(self, codec: Codec, budgets: int) -> None:
        self.codec, self.budgets = codec, budgets
        self.encoder = msgspec.msgpack.Encoder()
        self.envelopes = msgspec.msgpack.Decoder(Envelope)
        self.decoders: list[Any] = [msgspec.msgpack.Decoder(kind) for kind in KINDS]

    def encode(self, sender: str, address: str, message: Message) -> bytes:
        """As it goes out."""
        raw = msgspec.Raw(self.encoder.encode(message))
        body = self.encoder.encode(Envelope(sender, address, KINDS.index(type(message)), raw))
        return b"%b%c%b%b" % (MAGIC, VERSION, self.codec.code(MAGIC + body), body)

    def decode(self, raw: bytes) -> tuple[str, str, Message]:
        """Sender, its address, and what it says; Bad for anything else."""
        if len(raw) < HEAD or raw[:1] != MAGIC:
            raise Bad(Drop.CUT if raw[:1] == MAGIC else Drop.FOREIGN)
        if raw[1] != VERSION:
            raise Bad(Drop.VERSION)
        # The magic is under the code: a message of the membership can't be passed off as one of these.
        if not hmac.compare_digest(raw[2 : 2 + CODE], self.codec.code(MAGIC + raw[HEAD:])):
            raise Bad(Drop.FOREIGN)
        try:
            envelope = self.envelopes.decode(raw[HEAD:])
            if not 0 <= envelope.kind < len(KINDS):
                raise ValueError
            message: Message = self.decoders[envelope.kind].decode(envelope.body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            raise Bad(Drop.UNREADABLE) from None
        texts = [
            envelope.sender,
            envelope.address,
            *(field for field in flat(message) if isinstance(field, str)),
        ]
        numbers = [field for field in flat(message) if isinstance(field, int)]
        rows = [field for field in message if isinstance(field, tuple) and not isinstance(field, Epoch)]
        if any(len(text) > NAME_MOST for text in texts) or any(not 0 <= n <= MAX_AMOUNT for n in numbers):
            raise Bad(Drop.UNREADABLE)
        if any(row and len(row) != self.budgets for row in rows):  # who takes it looks after empty ones
            raise Bad(Drop.UNREADABLE)
        return envelope.sender, envelope.address, message


def flat(message: Any) -> list[Any]:
    """A message's fields, those of its tuples too."""
    found: list[Any] = []
    for field in message:
        if isinstance(field, tuple):
            found += field
        else:
            found.append(field)
    return found
