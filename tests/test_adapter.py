"""The simulator's adapter as a process: framing, malformed input, and independence of instances."""

from __future__ import annotations

import json
import struct
import subprocess
import sys

import pytest

from lupintack import interface as i
from lupintack import simulator_wire
from lupintack.settings.errors import SettingsError
from lupintack.settings.instance import read_settings

SETTINGS = {
    "services": [{"name": "a", "aim": 500.0, "deadline": 5000.0, "repeat": "free"}],
    "zone": 0,
    "siblings": 1,
    "domain": {"second-tier-kind": 1, "store-kind": 2, "client-kb-per-s": 5000.0, "zone-balancers": [1]},
    "limits": {"try-limit": 3},
    "weights": "rough",
    "something-new": {"x": 1},
}


def encode_batch(records: list[bytes], tail: bytes = b"", now: float = 10.0) -> bytes:
    """Return a batch of event records."""
    body = b"".join(record.ljust(simulator_wire.EVENT_SIZE, b"\0") for record in records) + tail
    return struct.pack(">IdI", len(body), now, len(records)) + body


def start_batch(settings: object = SETTINGS, router: int = 3) -> bytes:
    """Return a batch that starts an instance, gives it a member list and sends it a request."""
    text = json.dumps(settings).encode()
    entries = [
        simulator_wire.LIST_ENTRY.pack(host, 80, 0, kind, 0, 1, 10.0, 0.0)
        for host, kind in ((11, 0), (21, 1), (31, 2))
    ]
    records = [
        struct.pack(">BH", 13, router),
        struct.pack(">BQII", 1, 7, 0, len(text)),
        struct.pack(">BHII", 12, 0, len(text), len(entries)),
        struct.pack(">BBIH", 2, 2, 1, 0),
        struct.pack(">BIHHQdfffH", 3, 99, 0, 0, 5, 5000.0, 300.0, 0.0, 0.0, 0),
    ]
    return encode_batch(records, text + b"".join(entries))


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    """Run the adapter with this input until it ends."""
    return subprocess.run(
        [sys.executable, "-m", "lupintack.simulator_adapter"], input=data, capture_output=True, timeout=20
    )


def test_empty_batch_gets_empty_reply_and_end_of_input_ends_the_process() -> None:
    completed = run_adapter(encode_batch([]))
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, bytes(8), b"")


def test_request_is_answered_with_a_fetch() -> None:
    completed = run_adapter(start_batch())
    assert completed.returncode == 0
    length, count = struct.unpack(">II", completed.stdout[:8])
    assert len(completed.stdout) == 8 + length and count == 3
    record = completed.stdout[8 + simulator_wire.ACTION_SIZE : 8 + 2 * simulator_wire.ACTION_SIZE]
    code, request, _, priority, source, _, member, _, _, flags = struct.unpack(">BIdBIHIHdB", record[:35])
    assert (code, request, priority, source, member, flags) == (68, 99, 1, 21, 11, 0)


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0",
        encode_batch([])[:-1],
        start_batch()[:-5],
        encode_batch([b"\x63"]),
        encode_batch([struct.pack(">BH", 13, 1), b"\x63"]),
        encode_batch([struct.pack(">BH", 13, 1), struct.pack(">BQII", 1, 7, 0, 999)]),
        encode_batch([struct.pack(">BH", 13, 1), struct.pack(">BBIH", 2, 0, 1, 4)]),
        struct.pack(">IdI", 0, 1.0, 50),
        start_batch([]),
        start_batch({"zone": "x"}),
        start_batch({"services": [{"repeat": "maybe"}]}),
    ],
)
def test_malformed_input_prints_one_line_and_exits_with_code_2(data: bytes) -> None:
    completed = run_adapter(data)
    assert completed.returncode == 2 and completed.stdout == b""
    assert len(completed.stderr.splitlines()) == 1 and completed.stderr.startswith(
        b"lupintack.simulator_adapter: "
    )


def test_error_names_setting_of_wrong_type_and_absent_settings_get_defaults() -> None:
    with pytest.raises(SettingsError, match="limits.try-limit"):
        read_settings(json.dumps({"limits": {"try-limit": "six"}}).encode())
    defaults = read_settings(b"{}")
    assert defaults == i.Settings(classes=())


def test_exception_in_an_instance_ends_only_that_instance() -> None:
    failing = encode_batch(
        [
            struct.pack(">BH", 13, 3),
            struct.pack(">BIHHQdfffH", 3, 98, 9, 0, 5, 5e3, 1.0, 0.0, 0.0, 0),
            struct.pack(">BH", 13, 4),
            struct.pack(">BIHHQdfffH", 3, 97, 0, 0, 5, 5e3, 1.0, 0.0, 0.0, 0),
        ]
    )
    completed = run_adapter(start_batch() + start_batch(router=4) + failing)
    assert completed.returncode == 0 and b"Traceback" in completed.stderr
    reply = completed.stdout[-(8 + 5 * simulator_wire.ACTION_SIZE) - 40 :]
    assert b"IndexError" in reply and struct.pack(">BI", 68, 97) in reply
