"""Lengths of texts as they are encoded."""

from __future__ import annotations


def encoded_bytes(text: str) -> int:
    """Return the length of a text in UTF-8, in bytes."""
    return len(text) if text.isascii() else len(text.encode("utf-8", "surrogatepass"))
