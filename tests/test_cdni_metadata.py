"""Metadata documents of upstream CDNs are kept no longer than they may be, whatever crosses their fetch."""

from __future__ import annotations

import threading
from typing import Any

import pytest

from lupintack.core.messages import OUTDATED_METADATA
from lupintack.fronts.cdni import client, metadata_store
from lupintack.fronts.cdni.metadata_store import MetadataStore


class Upstream:
    """Answers calls for one document, each when the test lets it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, cache_control: str = "", age: str = "") -> None:
        """Stand in for the client of other CDNs."""
        self.headers = {"content-type": "application/cdni; ptype=MI.HostIndex"}
        self.headers |= {"cache-control": cache_control, "age": age}
        self.store = MetadataStore()
        self.calls = 0
        self.gates: dict[int, threading.Event] = {}
        self.reached = threading.Event()
        monkeypatch.setattr(client, "call", self.call)

    def call(self, *_: object, **__: object) -> client.Reply:
        self.calls += 1
        number = self.calls
        if number in self.gates:
            self.reached.set()
            assert self.gates[number].wait(5)
        return client.Reply(200, self.headers, f'{{"call": {number}}}'.encode())

    def get(self) -> Any:
        return self.store.get("http://up/", "MI.HostIndex")["call"]

    def get_late(self, before_the_answer: Any) -> int:
        """Return what a call gets whose answer comes after `before_the_answer` has run."""
        gate = self.gates[self.calls + 1] = threading.Event()
        results: list[int] = []
        thread = threading.Thread(target=lambda: results.append(self.get()))
        thread.start()
        assert self.reached.wait(5)
        before_the_answer()
        gate.set()
        thread.join(5)
        return results[0]


def test_document_that_was_dropped_while_it_was_fetched_is_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against metadata from before an invalidation that names the earlier collection for an hour."""
    upstream = Upstream(monkeypatch, "max-age=3600")
    assert upstream.get_late(lambda: upstream.store.drop(["http://other/", "http://up/"])) == 1
    assert (upstream.get(), upstream.get()) == (2, 2)
    assert not upstream.store.fetches


def test_document_does_not_replace_one_that_was_asked_for_later(monkeypatch: pytest.MonkeyPatch) -> None:
    upstream = Upstream(monkeypatch, "max-age=3600")
    assert upstream.get_late(lambda: upstream.get()) == 1
    assert upstream.get() == 2


@pytest.mark.parametrize(
    ("cache_control", "age", "max_age_s"),
    [
        ("", "", 60),
        ("max-age=5", "", 5),
        ("public, Max-Age=9", "4", 5),
        ("max-age=5", "9", 0),
        ("max-age=5", "x", 5),
        ("no-store", "", 0),
        ("no-cache, max-age=5", "", 0),
        ("max-age=99999", "", 3600),
    ],
)
def test_document_is_kept_as_long_as_the_upstream_allows(
    monkeypatch: pytest.MonkeyPatch, cache_control: str, age: str, max_age_s: int
) -> None:
    """Guards against a collection that is known for longer than the upstream said."""
    upstream, clock = Upstream(monkeypatch, cache_control, age), [1_000_000]
    monkeypatch.setattr(metadata_store, "now_us", lambda: clock[0])
    assert upstream.get() == 1
    clock[0] += max(0, max_age_s * 1_000_000 - 1)
    assert upstream.get() == (1 if max_age_s else 2)
    clock[0] += 1
    assert upstream.get() == (2 if max_age_s else 3)


def test_changes_of_documents_are_counted_and_the_first_fetch_is_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against copies that outlive a change of the metadata, and against those that a fetch costs."""
    bodies = {"http://up/1": b'{"a": 1}', "http://up/2": b'{"a": 2}'}
    headers = {"content-type": "application/cdni; ptype=MI.HostIndex"}
    monkeypatch.setattr(client, "call", lambda _, url, *__, **___: client.Reply(200, headers, bodies[url]))
    store = MetadataStore()

    def fetch(url: str) -> dict[str, bytes]:
        return {url: store.get_document(url, "MI.HostIndex").digest}

    first, second = fetch("http://up/1"), fetch("http://up/2")
    assert store.version == store.version_of(first | second) == 2
    changed_us = store.changed_us
    store.drop_all()
    assert fetch("http://up/1") == first and (store.version, store.changed_us) == (2, changed_us)
    bodies["http://up/2"] = b'{"a": 3}'
    assert fetch("http://up/2") != second and store.version == 3 and store.changed_us >= changed_us
    assert store.version_of(first) == 3 and store.version_of(second) == OUTDATED_METADATA
    monkeypatch.setattr(metadata_store, "MAX_DOCUMENTS", 1)
    bodies["http://up/3"] = b"{}"
    fetch("http://up/3")
    assert store.version_of(first) == OUTDATED_METADATA, "beyond the bound a document counts as changed"
    assert len(store._digests) == 1
