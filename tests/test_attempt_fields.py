"""What outsiders send changes neither the fields of a command to a member, nor whose copies they name."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.entity_tags import MAX_TAGS, NO_TAGS, CachedTags, parse_if_none_match
from lupintack.core.messages import Attempt, AttemptResult, ClientRequest
from lupintack.peers import platform_wire, resp
from lupintack.peers.config import PeerConfig
from lupintack.peers.connection_quota import ConnectionQuota
from lupintack.peers.peer import Peer
from tests.scenario import Scenario
from tests.test_cdni import CONFIG, DOWNSTREAM_WITHOUT_URLS, EXPECT_METADATA_CALL

DEADLINE_US = 1 << 60
TILE = "/ops/map-tiles/00000000000000aa"
DELIVERY = "{cdni}/delivery/maps.up/maps/a"


def attempt_with(
    class_name: str = "map-tiles", item: str = "0" * 16, source: str = "", key: str = "", tag: str = ""
) -> Attempt:
    sink: Any = SimpleNamespace(is_disconnected=lambda: False)
    tags = CachedTags((tag,)) if tag else NO_TAGS
    request = ClientRequest("0" * 16, 0, item, 0, 0, 0, DEADLINE_US, sink, cached_tags=tags)
    request.idempotency_key = key
    return Attempt(
        request, 0, 1, 0, class_name, source, 0, 0.0, False, False, False, 0, 0, is_outdated=lambda _: False
    )


@pytest.mark.parametrize(
    ("header", "tags"),
    [
        ("", NO_TAGS),
        ('"a1"', CachedTags(("a1",))),
        ('W/"a1"', CachedTags(("a1",))),
        ('"a1", "b2"', CachedTags(("a1", "b2"))),
        (' ,"a1",,\tW/"b2" , ', CachedTags(("a1", "b2"))),
        ("*", CachedTags(is_any=True)),
        (" * ", CachedTags(is_any=True)),
        ('"*"', NO_TAGS),  # a tag that no copy has
        ('"a,b", "c3"', CachedTags(("c3",))),  # a comma may stand in a tag
        ('"x,item=00000000000000bb"', NO_TAGS),
        ('"caf\xe9", "c3"', CachedTags(("c3",))),
        ('""', NO_TAGS),
        (f'"{"x" * 65}"', NO_TAGS),
        ('"a1" "b2"', NO_TAGS),
        ("a1", NO_TAGS),
        ('"a1', NO_TAGS),
        ('w/"a1"', NO_TAGS),
        ('"a1", *', NO_TAGS),
        (", ".join(f'"t{n}"' for n in range(100)), CachedTags(tuple(f"t{n}" for n in range(MAX_TAGS)))),
    ],
)
def test_if_none_match_is_read_as_http_defines_it(header: str, tags: CachedTags) -> None:
    """Guards against a list, a weak tag or `*` that is passed on as one tag, and against malformed fields."""
    assert parse_if_none_match(header) == tags


@given(st.text(alphabet='"W/*, \tax=\xe9', max_size=40))
def test_any_if_none_match_yields_tags_that_fields_can_hold(header: str) -> None:
    tags = parse_if_none_match(header)
    for tag in tags.tags:
        platform_wire.encode_attempt(attempt_with(tag=tag), 0)


def test_longest_header_is_read_in_linear_time() -> None:
    """Guards against a pattern that takes the processor for seconds: fields may be 16 KB long."""
    began_s = time.process_time()
    for text in (" ," * 8000 + "x", '"a" ' * 4000, '"' * 16000, 'W/"a",' * 2700):
        parse_if_none_match(text)
    assert time.process_time() - began_s < 0.5


@pytest.mark.parametrize(
    "changes",
    [
        {"tag": "x,item=00000000000000bb"},
        {"tag": "a=b"},
        {"tag": 'a", "b'},
        {"tag": "caf\xe9"},
        {"tag": "a\r\n"},
        {"key": "k,cls=alert-ack"},
        {"key": "k\x00"},
        {"source": "p-1,miss=p-2"},
        {"source": "p 1"},
        {"class_name": "map-tiles,item=00000000000000bb"},
        {"item": "0\u0660"},
    ],
)
def test_encoder_writes_no_value_that_reads_otherwise(changes: dict[str, str]) -> None:
    """Guards against another object's bytes, and a write that nobody sent, by a value with a separator."""
    with pytest.raises(platform_wire.UnencodableFieldError):
        platform_wire.encode_attempt(attempt_with(**changes), 0)


@given(
    st.fixed_dictionaries(
        {name: st.text(max_size=8) for name in ("class_name", "item", "source", "key", "tag")}
    )
)
def test_what_the_encoder_writes_reads_as_it_was(values: dict[str, str]) -> None:
    attempt = attempt_with(**values)
    try:
        raw = platform_wire.encode_attempt(attempt, 0)
    except platform_wire.UnencodableFieldError:
        return
    parts = resp.Reader(cast(Any, None))
    parts.buffer = bytearray(raw)
    read = resp.parse_fields(parts.read_array()[2])
    assert parts.position == len(raw)
    assert (read["cls"], read["item"]) == (values["class_name"], values["item"])
    for name, field in (("source", "miss"), ("key", "nonce"), ("tag", "mine")):
        assert read.get(field, "") == values[name]


def test_attempt_that_cannot_be_encoded_ends_alone() -> None:
    """Guards against an error at the write that takes the attempts waiting beside it, or the connection."""
    results: list[AttemptResult] = []
    config = PeerConfig(8, 10**6, 10**6, (), ConnectionQuota(8, 8), cast(Any, None), True, lambda name: None)
    peer = Peer("s-1", ("127.0.0.1", 9), config, results.append, lambda call, name: None)
    connection: Any = SimpleNamespace(open_attempts={}, send=lambda data: True, last_used_us=0)
    for attempt in (attempt_with(tag="a,b"), attempt_with(tag="ab")):
        peer.assign(connection, attempt)
    assert [result.status for result in results] == [AttemptStatus.NOT_ENCODABLE]
    assert len(connection.open_attempts) == 1


@pytest.mark.parametrize(
    ("target", "metadata"), [(TILE, ""), (DELIVERY, EXPECT_METADATA_CALL)], ids=["platform", "cdni"]
)
def test_each_front_answers_304_for_any_copy_of_the_client_and_tells_members_of_one(
    target: str, metadata: str
) -> None:
    Scenario(CONFIG + DOWNSTREAM_WITHOUT_URLS).run(f"""
        client a send GET {target} If-None-Match:W/"t1","t2"
        {metadata}
        cache expect one mine=t1
        cache send one ok entity=t2,issued={{now}} map
        client a expect 304 ETag:"t2" body=
        client a send GET {target} If-None-Match:"t1","t2"
        cache expect two mine=t1
        cache send two current entity=t1,issued={{now}}
        client a expect 304 ETag:"t1"
        client a send GET {target} If-None-Match:"t1","t2"
        cache expect three mine=t1
        cache send three ok entity=t3,issued={{now}} map
        client a expect 200 ETag:"t3" body=map
        client a send GET {target} If-None-Match:*
        cache expect four mine=
        cache send four ok entity=t4,issued={{now}} map
        client a expect 304 ETag:"t4"
        client a send GET {target} If-None-Match:"x,item=00000000000000bb"
        cache expect five mine= item=?*
        cache send five ok entity=t5,issued={{now}} map
        client a expect 200 body=map
    """)


def test_copies_of_its_own_are_compared_with_all_of_the_clients() -> None:
    request = f"client a send GET {TILE} X-Batch:17"
    fill = "cache expect w\ncache send w ok entity=t,issued={now},tell=f map\nclient a expect 200 body=map"
    Scenario(link_bytes_per_s=1e6).run(f"""
        {request}
        {fill}
        {request}
        {fill}
        {request} If-None-Match:"s",W/"t"
        client a expect 304 ETag:"t"
        {request} If-None-Match:*
        client a expect 304 ETag:"t"
        {request} If-None-Match:"s"
        client a expect 200 body=map
        cache expect nothing 30
    """)


def test_condition_of_a_write_is_not_passed_on() -> None:
    """No copy of a write is kept, so a client can't have it: `current` would say that it didn't run."""
    Scenario().run("""
        client a send PUT /ops/alert-ack/00000000000000aa If-None-Match:"t1" body=ack
        cache expect w mine=
    """)
