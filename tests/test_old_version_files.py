"""Files that an earlier version left in a router's folder are still read with the same values."""

from __future__ import annotations

import fcntl
import shutil
from pathlib import Path
from unittest import mock

import pytest

from lupintack.budgets import vote_file
from lupintack.budgets.terms import Terms
from lupintack.core import handoff, local_cache
from lupintack.core.local_cache import LocalCache
from lupintack.core.timestamps import CopyClock
from lupintack.interface import MemberState
from lupintack.lifecycle import bans
from lupintack.lifecycle.folder import Folder, folder_path, read_ban_files
from lupintack.lifecycle.upgrade_peer import UpgradePeer
from tests import helpers
from tests.recordings import DATA, as_text, recorded

EXPECTED = recorded("old_version/expected.json")
PROCESS = EXPECTED["process"]
HANDOFF_PID = 4243
CACHE_BYTES = 10_000_000
LINK_BYTES_PER_S = 1e6


def old_folder(tmp_path: Path) -> Path:
    """Copy the recorded folder to the path that a process of the router uses; return the path."""
    path = folder_path(str(tmp_path), PROCESS["base_name"], PROCESS["listen"])
    shutil.copytree(DATA / "old_version" / "folder", path)
    return path


def test_folder_has_the_same_path(tmp_path: Path) -> None:
    assert folder_path(str(tmp_path), PROCESS["base_name"], PROCESS["listen"]).name == PROCESS["folder"]


@pytest.mark.parametrize("kept", [("bans.json", "bans.copy.json"), ("bans.json",), ("bans.copy.json",)])
def test_bans_and_their_copy_are_read(tmp_path: Path, kept: tuple[str, ...]) -> None:
    path = old_folder(tmp_path)
    for name in {"bans.json", "bans.copy.json"} - set(kept):
        (path / name).unlink()
    texts = read_ban_files(path)
    assert len(texts) == len(kept)
    for text in texts:
        parsed = bans.parse(text)
        assert {"out": parsed.excluded, "back": parsed.included} == EXPECTED["bans"]
        assert parsed.dump() == text


def test_bans_apply_to_members_as_before(tmp_path: Path) -> None:
    parsed = bans.parse(read_ban_files(old_folder(tmp_path))[0])
    assert len(EXPECTED["applied"]) == 15
    for case in EXPECTED["applied"]:
        state, born_ms = parsed.apply_to(case["name"], MemberState(case["state"]), case["born_ms"])
        assert [state.value, born_ms] == case["to"], case


def test_state_of_a_living_process_is_read(tmp_path: Path) -> None:
    path = old_folder(tmp_path)
    with open(path / f"run.{PROCESS['pid']}", "rb+") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        folder = Folder(str(tmp_path), PROCESS["base_name"], PROCESS["listen"])
        peers = folder.find_peers()
        folder.close()
    assert peers == [UpgradePeer(PROCESS["pid"], PROCESS["born_ns"], PROCESS["phase"])]


def test_learned_state_of_a_handoff_is_adopted() -> None:
    with open(DATA / "old_version" / "folder" / f"legacy.{HANDOFF_PID}", "rb") as file:
        learned, body = next(handoff.read_records(file.read))
    router = helpers.router(now=EXPECTED["adopt_now_ms"])
    assert not body and handoff.restore_record(router, learned)
    assert handoff.learned_record(router) == EXPECTED["learned"]


def test_copies_of_a_handoff_are_adopted_in_their_order() -> None:
    cache = LocalCache(CACHE_BYTES, LINK_BYTES_PER_S, CopyClock(EXPECTED["unix_offset_us"]))
    with (
        open(DATA / "old_version" / "folder" / f"legacy.{HANDOFF_PID}", "rb") as file,
        mock.patch.object(local_cache, "now_us", lambda: EXPECTED["now_us"]),
    ):
        for values, body in list(handoff.read_records(file.read))[1:]:
            handoff.restore_copy(cache, values, body)
    adopted = [
        {
            "object_id": object_id,
            "part": part,
            "group": copy.group,
            "tag": copy.answer.tag,
            "issued_ms": copy.answer.issued_ms,
            "body": as_text(copy.answer.body),
        }
        for (object_id, part), copy in cache.copies.items()
    ]
    assert len(adopted) == 3 and adopted == EXPECTED["copies"]


@pytest.mark.parametrize("case", EXPECTED["votes"], ids=lambda case: str(case["file"]))
def test_promise_of_a_voter_is_read_and_written(case: dict[str, object]) -> None:
    raw = (DATA / "old_version" / "votes" / str(case["file"])).read_bytes()
    voter, fleet = str(case["voter"]), str(case["fleet"])
    reads = case["reads"]
    assert isinstance(reads, list) and len(reads) == 3
    for read in reads:
        promise = vote_file.decode_promise(raw, voter, fleet, read["boot"], Terms(), read["now_us"])
        if promise is None:
            assert read["promise"] is None
            continue
        assert [list(promise.epoch), promise.until_us, promise.highest_counter] == read["promise"]
        assert vote_file.encode_promise(promise, voter, fleet, read["boot"]) == raw
