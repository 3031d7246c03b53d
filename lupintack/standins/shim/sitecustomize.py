"""Makes system calls of a router process under test fail; loaded by its interpreter before all other modules.

`LUPINTACK_SHIM` is the path of a JSON file, which is read again when it changes, so a test can change it
while the process runs:

    {"seed": 7, "step_s": 3600, "short": 0.3, "faults": [{"call": "accept", "errno": "ENFILE", "part": 0.5}]}

`step_s` is added to the wall clock. `short` is the fraction of reads and writes that are limited to a few
bytes. A fault makes the fraction `part` of the calls fail. `"connected": true`: only on connections opened by
this process, `false`: only on others. `"broken": true`: the connection is also shut down, as by a real
ETIMEDOUT. `"first": 5`: only the first five of these calls. `"path": "run."`: only files whose path contains
the text.
"""

from __future__ import annotations

import builtins
import errno
import fcntl
import io
import json
import os
import random
import socket
import sys
import time
import weakref
from collections import Counter
from typing import Any

FEW_BYTES = 5
LOOK_S = 0.02


class Plan:
    """The content of the fault file."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.data: dict[str, Any] = {}
        self.random = random.Random(0)
        self.stamp = (0, 0)
        self.looked = -1.0
        self.calls: Counter[str] = Counter()  # calls for which a fault was drawn

    def now(self) -> dict[str, Any]:
        """Return the plan, at most LOOK_S old."""
        at = REAL_MONOTONIC()
        if at - self.looked > LOOK_S:
            self.looked = at
            try:
                stat = REAL_PATHS["stat"](self.path)
                if (stat.st_ino, stat.st_mtime_ns) != self.stamp:
                    self.stamp = (stat.st_ino, stat.st_mtime_ns)
                    with REAL_OPEN(self.path) as file:
                        self.data = json.load(file)
                    self.random = random.Random(self.data.get("seed", 0))
            except (OSError, ValueError):
                pass  # the file is being replaced
        return self.data

    def fail(self, call: str, sock: Any = None, path: str = "") -> None:
        """Raise OSError if the plan has a fault for this call."""
        for fault in self.now().get("faults", ()):
            if fault["call"] != call or fault.get("path", "") not in path:
                continue
            if "connected" in fault and fault["connected"] != (sock in CONNECTED):
                continue
            if "first" in fault and self.calls[call] >= fault["first"]:
                continue
            self.calls[call] += 1
            if self.random.random() < fault["part"]:
                if fault.get("broken") and sock is not None:
                    REAL["shutdown"](sock, socket.SHUT_RDWR)
                code = getattr(errno, fault["errno"])
                raise OSError(code, os.strerror(code))

    def few(self) -> bool:
        """Return whether this read or write is limited to a few bytes."""
        part: float = self.now().get("short", 0.0)
        return self.random.random() < part


REAL_MONOTONIC, REAL_TIME, REAL_TIME_NS = time.monotonic, time.time, time.time_ns
REAL = {
    name: getattr(socket.socket, name)
    for name in (
        "accept", "bind", "connect", "listen", "recv", "recv_into", "send", "sendall", "sendmsg",
        "setsockopt", "shutdown", "__init__",
    )
}  # fmt: skip
REAL_OS = {name: getattr(os, name) for name in ("fsync", "replace", "pwrite")}
REAL_PATHS = {name: getattr(os, name) for name in ("listdir", "open", "stat", "unlink")}
REAL_FLOCK, REAL_OPEN = fcntl.flock, builtins.open
CONNECTED: weakref.WeakSet[socket.socket] = weakref.WeakSet()
PLAN = Plan(os.environ.get("LUPINTACK_SHIM", ""))


def faulty(name: str) -> Any:
    """Return a socket method that fails as planned and otherwise calls the real one."""

    def call(sock: socket.socket, *args: Any, **more: Any) -> Any:
        PLAN.fail(name, sock)
        if name == "connect":
            CONNECTED.add(sock)
        return REAL[name](sock, *args, **more)

    return call


def recv(sock: socket.socket, size: int, flags: int = 0) -> bytes:
    PLAN.fail("recv", sock)
    data: bytes = REAL["recv"](sock, FEW_BYTES if PLAN.few() else size, flags)
    return data


def recv_into(sock: socket.socket, buffer: Any, size: int = 0, flags: int = 0) -> int:
    PLAN.fail("recv", sock)
    got: int = REAL["recv_into"](sock, buffer, FEW_BYTES if PLAN.few() and size > FEW_BYTES else size, flags)
    return got


def send(sock: socket.socket, data: Any, flags: int = 0) -> int:
    PLAN.fail("send", sock)
    done: int = REAL["send"](sock, memoryview(data)[:FEW_BYTES] if PLAN.few() else data, flags)
    return done


def sendmsg(sock: socket.socket, buffers: Any, ancillary: Any = (), flags: int = 0) -> int:
    PLAN.fail("send", sock)
    buffers = [memoryview(buffers[0])[:FEW_BYTES]] if PLAN.few() else buffers
    done: int = REAL["sendmsg"](sock, buffers, ancillary, flags)
    return done


def faulty_os(name: str) -> Any:
    def call(*args: Any, **more: Any) -> Any:
        PLAN.fail(name)
        return REAL_OS[name](*args, **more)

    return call


def faulty_path(name: str, real: Any) -> Any:
    """Return a function like `real`, whose first argument is a path, that fails as planned."""

    def call(path: Any, *args: Any, **more: Any) -> Any:
        if isinstance(path, str | os.PathLike):
            PLAN.fail(name, path=str(path))
        return real(path, *args, **more)

    return call


def flock(file: Any, operation: int) -> None:
    PLAN.fail("flock")
    REAL_FLOCK(file, operation)


def init(sock: socket.socket, *args: Any, **more: Any) -> None:
    if more.get("fileno") is None and len(args) < 4:  # not from accept
        PLAN.fail("socket")
    REAL["__init__"](sock, *args, **more)


def install() -> None:
    """Replace the calls of the socket, os, fcntl and time modules."""
    cls: Any = socket.socket
    for name in ("accept", "bind", "connect", "listen", "setsockopt"):
        setattr(cls, name, faulty(name))
    cls.recv, cls.recv_into, cls.send, cls.sendmsg, cls.__init__ = recv, recv_into, send, sendmsg, init
    for name in REAL_OS:
        setattr(os, name, faulty_os(name))
    for name, real in REAL_PATHS.items():
        setattr(os, name, faulty_path(name, real))
    builtins.open = io.open = faulty_path("open", REAL_OPEN)  # pathlib uses io.open
    fcntl.flock = flock
    time.time = lambda: REAL_TIME() + PLAN.now().get("step_s", 0.0)
    time.time_ns = lambda: REAL_TIME_NS() + int(PLAN.now().get("step_s", 0.0) * 1e9)


if PLAN.path and "lupintack" in " ".join(sys.orig_argv):
    install()
