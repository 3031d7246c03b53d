"""Reads the operator's TOML files; errors name the file, table, key, value and expected value.

A file in which every feature is off is not converted to records: that needs `msgspec`, whose 1.6 MB the
platform's smallest machines can't spare. `lupintack config check` converts every table, on or off.
"""

from __future__ import annotations

import errno
import re
import time
import tomllib
from pathlib import Path
from typing import Any, TypeVar

from lupintack.settings.errors import ConfigError

T = TypeVar("T")
MAX_READ_ATTEMPTS = 20
READ_RETRY_INTERVAL_S = 0.05
TRANSIENT_ERRNOS = frozenset(
    {errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EAGAIN, errno.ENOBUFS}
)
"""Errors of open and read that may pass soon, by their manual pages."""
VALIDATION_ERROR = re.compile(r"(?P<message>.*?)(?: - at `\$(?P<path>[^`]*)`)?", re.S)
PATH_STEP = re.compile(r"\.?([^.\[\]]+)|\[(\d+|\.\.\.)\]")


def address(text: object, label: str) -> tuple[str, int]:
    """Parse `host:port`; raise ConfigError, prefixed with `label`, for any other text."""
    host, _, port = str(text).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < 65536:
        raise ConfigError(f"{label}: expected host:port, not {str(text)!r}")
    return host.strip("[]"), int(port)


def read_bytes(path: Path) -> bytes:
    """Return a file's content; raise the OSError of the last attempt.

    Transient errors are retried for a second. Without retries, one failed call would end the start or lose a
    SIGHUP.
    """
    for _ in range(MAX_READ_ATTEMPTS - 1):
        try:
            with open(path, "rb") as file:
                return file.read()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise
        time.sleep(READ_RETRY_INTERVAL_S)
    with open(path, "rb") as file:
        return file.read()


def read_toml(path: Path) -> dict[str, Any] | None:
    """Return a TOML file's content, None if it doesn't exist; raise ConfigError if it can't be read."""
    try:
        return tomllib.loads(read_bytes(path).decode())
    except FileNotFoundError:
        return None
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path.name}: {error}".replace("\n", " ")) from None


def is_off(data: dict[str, Any]) -> bool:
    """Return whether the file, or each of its tables, has an explicit `enabled = false`.

    Guards against a misspelt key that would silently leave a feature off: a table without `enabled` is
    checked in full.
    """
    if "enabled" in data:
        return data["enabled"] is False
    return all(isinstance(table, dict) and table.get("enabled") is False for table in data.values())


def parse_record(kind: type[T], data: dict[str, Any], name: str) -> T:
    """Convert a file's content to a typed record; raise a ConfigError that locates the fault in one line."""
    import msgspec

    try:
        return msgspec.convert(data, kind, strict=True)
    except msgspec.ValidationError as error:
        raise ConfigError(describe_error(str(error), data, name)) from None


def describe_error(text: str, data: Any, name: str) -> str:
    """Return a validation error's text with the table, the key and the value that it refers to."""
    match = VALIDATION_ERROR.fullmatch(text)
    message, path = (match["message"], match["path"] or "") if match else (text, "")
    unknown = re.fullmatch(r"Object contains unknown field `(.*)`", message)
    missing = re.fullmatch(r"Object missing required field `(.*)`", message)
    steps: list[str] = []
    value = data
    for key, index in PATH_STEP.findall(path):
        steps.append(key or f"[{index}]")
        try:
            value = value[key] if key else value[int(index)]
        except (KeyError, IndexError, TypeError, ValueError):
            value = None
    if unknown:
        table = f"[{join_path(steps)}] " if steps else ""
        content = value.get(unknown[1]) if isinstance(value, dict) else None
        kind = "table" if isinstance(content, dict) else "key"
        return (
            f"{name}: {table}{unknown[1]}: {shorten(content)}: no such {kind}; see `lupintack config schema`"
        )
    if missing:
        table = f"[{join_path(steps)}] " if steps else ""
        return f"{name}: {table}{missing[1]}: is missing"
    expected = re.sub(r", got .*$", "", message.replace("`", "")).removeprefix("Expected ")
    expected = re.sub(r"^str matching regex .*", "host:port", expected, flags=re.S)
    location = f"[{join_path(steps[:-1])}] {steps[-1]}" if len(steps) > 1 else "".join(steps) or "file"
    return f"{name}: {location}: {shorten(value)}: expected {expected}"


def join_path(steps: list[str]) -> str:
    """Join the steps of a path in TOML notation: host[0].path."""
    return ".".join(steps).replace(".[", "[")


def shorten(value: object) -> str:
    """Return the representation of a value, at most 60 characters long."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
