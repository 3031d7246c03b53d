"""Reads recorded test data, and converts values to the plain form in which it is stored."""

from __future__ import annotations

import json
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

DATA = Path(__file__).parent / "data"


def recorded(path: str) -> Any:
    """Return the content of a JSON file under `tests/data`."""
    return json.loads((DATA / path).read_text())


def as_text(data: bytes | bytearray | memoryview) -> str:
    """Return bytes as text, one character per byte."""
    return bytes(data).decode("latin-1")


def as_bytes(text: str) -> bytes:
    """Return bytes from their text form; the inverse of `as_text`."""
    return text.encode("latin-1")


def plain(value: Any, named: bool = False) -> Any:
    """Return a value as JSON data; a dataclass becomes a list of its fields, with `named` an object."""
    if is_dataclass(value):
        values = {field.name: plain(getattr(value, field.name), named) for field in fields(value)}
        return values if named else list(values.values())
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: plain(item, named) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(item, named) for item in value]
    if isinstance(value, (bytes, bytearray, memoryview)):
        return as_text(value)
    return value
