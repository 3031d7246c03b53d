"""The operator's TOML files: reading, and errors that name file, table, key, value and what is wanted.

A file in which everything is off is not read any further: the records need `msgspec`, whose 1.6 MB the
platform's smallest machines don't have to spare. `lupintack config check` reads every table, on or off.
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
"""Of open and read (their manual pages): may be otherwise a moment later."""
VALIDATION_ERROR = re.compile(r"(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?", re.S)
PATH_STEP = re.compile(r"\.?([^.\[\]]+)|\[(\d+|\.\.\.)\]")


def address(text: object, what: str) -> tuple[str, int]:
    """`host:port` as a pair; ConfigError, led by `what`, for anything else."""
    host, _, port = str(text).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < 65536:
        raise ConfigError(f"{what}: host:port is wanted, not {str(text)!r}")
    return host.strip("[]"), int(port)


def read_bytes(path: Path) -> bytes:
    """A file's bytes; OSError as the last try had it.

    Errors that may pass are tried again for a second: a start would be over, and a SIGHUP lost, for one call
    that failed once.
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
    """A TOML file's content; None where there is no such file, ConfigError for one that can't be read."""
    try:
        return tomllib.loads(read_bytes(path).decode())
    except FileNotFoundError:
        return None
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path.name}: {error}".replace("\n", " ")) from None


def is_off(data: dict[str, Any]) -> bool:
    """Whether the file, or each of its tables, says `enabled = false` in so many words.

    Guards against a misspelt key that would leave a feature off unnoticed: a table without the word is
    read in full.
    """
    if "enabled" in data:
        return data["enabled"] is False
    return all(isinstance(one, dict) and one.get("enabled") is False for one in data.values())


def parse_record(kind: type[T], data: dict[str, Any], name: str) -> T:
    """The file's content as a typed record; ConfigError says in one line what is wrong and where."""
    import msgspec

    try:
        return msgspec.convert(data, kind, strict=True)
    except msgspec.ValidationError as error:
        raise ConfigError(describe_error(str(error), data, name)) from None


def describe_error(text: str, data: Any, name: str) -> str:
    """A validation error's text with the table, the key and the value that it is about."""
    found = VALIDATION_ERROR.fullmatch(text)
    what, path = (found["what"], found["path"] or "") if found else (text, "")
    unknown = re.fullmatch(r"Object contains unknown field `(.*)`", what)
    missing = re.fullmatch(r"Object missing required field `(.*)`", what)
    steps: list[str] = []
    value = data
    for key, place in PATH_STEP.findall(path):
        steps.append(key or f"[{place}]")
        try:
            value = value[key] if key else value[int(place)]
        except (KeyError, IndexError, TypeError, ValueError):
            value = None
    if unknown:
        where = f"[{join_path(steps)}] " if steps else ""
        held = value.get(unknown[1]) if isinstance(value, dict) else None
        thing = "table" if isinstance(held, dict) else "key"
        return f"{name}: {where}{unknown[1]}: {shorten(held)}: no such {thing}; see `lupintack config schema`"
    if missing:
        where = f"[{join_path(steps)}] " if steps else ""
        return f"{name}: {where}{missing[1]}: is missing"
    wanted = re.sub(r", got .*$", "", what.replace("`", "")).removeprefix("Expected ")
    wanted = re.sub(r"^str matching regex .*", "host:port", wanted, flags=re.S)
    where = f"[{join_path(steps[:-1])}] {steps[-1]}" if len(steps) > 1 else "".join(steps) or "file"
    return f"{name}: {where}: {shorten(value)}: wanted is {wanted}"


def join_path(steps: list[str]) -> str:
    """A path as TOML words it: host[0].path."""
    return ".".join(steps).replace(".[", "[")


def shorten(value: object) -> str:
    """A value as an error shows it."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
