"""An order as a `want`, and an answer's fields as the core takes them."""

from __future__ import annotations

import math

from lupintack.core.messages import Answer, Order
from lupintack.interface import Note
from lupintack.peers import resp
from lupintack.peers.ending import Ending

ENDINGS = {
    b"ok": Ending.SERVED,
    b"current": Ending.HOLDS,
    b"nothing": Ending.NOTHING,
    b"refused": Ending.REFUSED,
    b"error": Ending.FAULT,
    b"stale": Ending.LATE,
}
FLAGS = {
    (join, held, renew): "+".join(
        word for word, on in (("wait-for", join), ("no-fetch", held), ("background", renew)) if on
    )
    for join in (False, True)
    for held in (False, True)
    for renew in (False, True)
}
NOTES = {letter: Note(n) for n, letter in enumerate("hfojsrblnx", 1)}


def want(order: Order, now_us: int) -> bytes:
    """The command that makes the attempt; its limit counts from now."""
    ask = order.ask
    limit = max(1, (ask.deadline_us - now_us) // 1000)
    told = f"cls={order.cls_name},item={ask.item},chunk={ask.part},limit={limit}"
    if order.source_host:
        told += f",miss={order.source_host}"
    if order.keep:
        told += f",prio={order.keep}"
    if order.max_age_ms > 0:
        # Rounded down, and never to 0, which would stand for the whole fresh time.
        told += f",within={max(1, math.floor(order.max_age_ms))}"
    flags = FLAGS[order.join, order.held_only, order.renew]
    if flags:
        told += f",f={flags}"
    if ask.have:
        told += f",mine={ask.have}"
    head = f"*4\r\n$4\r\nwant\r\n$16\r\n{ask.wire_id}\r\n${len(told)}\r\n{told}\r\n${len(ask.body)}\r\n"
    return b"%b%b\r\n" % (head.encode(), ask.body)


def answer(parts: list[bytearray], reports: tuple[str, ...]) -> tuple[Ending, Answer]:
    """What ID WORD FIELDS BODY says; a word or a field that can't be read is a bad frame."""
    ending = ENDINGS.get(bytes(parts[1]))
    if ending is None:
        raise resp.FrameError(f"an answer of {bytes(parts[1][:16])!r}")
    told = resp.pairs(parts[2]) if len(parts) > 2 else {}
    try:
        return ending, Answer(
            body=parts[3] if len(parts) > 3 else b"",
            tag=told.get("entity", ""),
            issued_ms=int(float(told.get("issued", "0"))),
            note=NOTES.get(told.get("tell", ""), Note.UNTOLD),
            waited_ms=float(told.get("delay", "0")),
            load=load(told.get("meter", ""), reports),
        )
    except (ValueError, OverflowError) as error:
        raise resp.FrameError(f"an answer's fields: {error}") from None


def load(meter: str, reports: tuple[str, ...]) -> tuple[float, ...]:
    """A load report in the settings' order; one that lacks a field is none."""
    if not meter:
        return ()
    told = resp.pairs(meter.encode(), ";", ":")
    if any(name not in told for name in reports):
        return ()
    return tuple(float(told[name]) for name in reports)
