"""Content of an upstream CDN has the group that the upstream's metadata names, on every path to it."""

from __future__ import annotations

import json

import pytest

from lupintack.fronts.cdni.metadata_reader import MAX_LEVELS
from lupintack.peers import resp
from tests.scenario import Scenario
from tests.test_cdni import CONFIG, DOWNSTREAM, DOWNSTREAM_WITHOUT_URLS, EXPECT_METADATA_CALL, host_index
from tests.test_cdni_triggers import send_trigger

GROUP = 17  # by the upstream's metadata; the host's own is 9
CONTENT = "http://maps.up/maps/a"
FRESH_MS = 8000  # of the class


def run(text: str) -> None:
    Scenario(CONFIG + DOWNSTREAM_WITHOUT_URLS).run(text)


def test_preposition_after_a_purge_uses_the_group_of_the_metadata() -> None:
    """Guards against a preposition that is answered from a copy older than a purge of its collection."""
    run(f"""
        {send_trigger("purge", "purge", content_ccid=[str(GROUP)])}
        {send_trigger("place", "preposition", content_urls=[CONTENT])}
        {EXPECT_METADATA_CALL}
        cache expect w cls=map-tiles within=?*
    """)


def test_purge_of_the_collection_drops_a_prepositioned_copy() -> None:
    """Guards against a router's own copy that is kept under the host's group, where no purge finds it."""
    scenario = Scenario(CONFIG + DOWNSTREAM_WITHOUT_URLS, 1e6)
    scenario.run(
        f"""
        {send_trigger("place", "preposition", content_urls=[CONTENT])}
        {EXPECT_METADATA_CALL}
        cache expect w1
        cache send w1 ok entity=t,issued={{now}} map
        client u wait {{place}} body='*"status": "complete"*'
        {send_trigger("again", "preposition", content_urls=[CONTENT])}
        cache expect w2
        cache send w2 ok entity=t,issued={{now}} map
        client u wait {{again}} body='*"status": "complete"*'
        """,
        close=False,
    )
    cache = scenario.node.core.local_cache
    assert cache is not None and len(cache.copies) == 1
    scenario.run(f"""
        {send_trigger("purge", "purge", content_ccid=[str(GROUP)])}
        client u wait {{purge}} body='*"status": "complete"*'
    """)
    assert not cache.copies


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        ("500 MI.HostIndex '{}'", "emeta"),
        (f"200 MI.HostIndex '{host_index(kind='MI.Odd', value={'x': 1})}'", "ereject"),
    ],
)
def test_preposition_fails_without_usable_metadata(answer: str, error: str) -> None:
    """Guards against content that is fetched, though its collection is not known."""
    run(f"""
        {send_trigger("place", "preposition", content_urls=[CONTENT])}
        peer up expect GET /hostindex
        peer up send {answer}
        client u wait {{place}} body='*"status": "failed"*"error": "{error}"*'
        cache expect nothing 30
    """)


def test_preposition_is_allowed_before_clients_are() -> None:
    """Metadata that denies a delivery to some clients, or for now, doesn't forbid to place content."""
    later = {"times": [{"action": "allow", "windows": [{"start": 1, "end": 2}]}]}
    grouping: dict[str, object] = {
        "generic-metadata-type": "MI.Grouping",
        "generic-metadata-value": {"ccid": str(GROUP)},
    }
    index = host_index(grouping, kind="MI.TimeWindowACL", value=later)
    run(f"""
        {send_trigger("purge", "purge", content_ccid=[str(GROUP)])}
        {send_trigger("place", "preposition", content_urls=[CONTENT])}
        peer up expect GET /hostindex
        peer up send 200 MI.HostIndex '{index}'
        cache expect w within=?*
    """)


MOVED = send_trigger("purge", "purge", metadata_urls=["{up}/hostindex"], content_ccid=[str(GROUP)])
EARLIER_METADATA = f"""
        peer up expect GET /hostindex
        peer up send 200 MI.HostIndex '{host_index(value={"ccid": "16"})}'
"""


def test_purge_binds_a_request_whose_metadata_was_read_before_it_changed() -> None:
    """Guards against a retry that is answered from a copy older than the purge of its new collection."""
    scenario = Scenario(CONFIG + DOWNSTREAM_WITHOUT_URLS)
    scenario.run(
        f"""
        client a send GET {{cdni}}/delivery/maps.up/maps/a
        {EARLIER_METADATA}
        cache expect w within=
        {MOVED}
        client u wait {{purge}} body='*"status": "complete"*'
        cache send w refused
        """,
        close=False,
    )
    fields = resp.parse_fields(scenario.member_messages.get(timeout=5)[2][2].encode())
    scenario.close()
    assert int(fields["within"]) < FRESH_MS, "a retry may get a stale copy, but none from before the purge"


def test_purge_while_metadata_is_read_binds_the_request() -> None:
    """Guards against a request that is sent under the collection of a document that was dropped meanwhile."""
    run(f"""
        client a send GET {{cdni}}/delivery/maps.up/maps/a
        peer up expect GET /hostindex
        {MOVED}
        client u wait {{purge}} body='*"status": "complete"*'
        peer up send 200 MI.HostIndex '{host_index(value={"ccid": "16"})}'
        cache expect w within=?*
        cache send w ok - flood
        client a expect 200
        client a send GET {{cdni}}/delivery/maps.up/maps/b
        {EXPECT_METADATA_CALL}
        cache expect v within=?*
    """)


def test_copy_fetched_across_a_purge_of_the_new_collection_is_not_kept() -> None:
    """Guards against a router's own copy under the earlier collection, where no purge finds it."""
    scenario = Scenario(CONFIG + DOWNSTREAM_WITHOUT_URLS, 1e6)
    ask = "client a send GET {cdni}/delivery/maps.up/maps/a"
    scenario.run(f"""
        {ask}
        {EARLIER_METADATA}
        cache expect w1
        cache send w1 ok entity=t,issued={{now}} map
        client a expect 200
        {ask}
        cache expect w2
        {MOVED}
        client u wait {{purge}} body='*"status": "complete"*'
        cache send w2 ok entity=t,issued={{now}} map
        client a expect 200
    """)
    cache = scenario.node.core.local_cache
    assert cache is not None and not cache.copies


PURGE_EARLIER = f"""
        {send_trigger("purge", "purge", content_ccid=["16"])}
        client u wait {{purge}} body='*"status": "complete"*'
"""
INVALIDATE_METADATA = f"""
        {send_trigger("drop", "invalidate", metadata_urls=["{up}/hostindex"])}
        client u wait {{drop}} body='*"status": "complete"*'
"""
ASK = "client a send GET {cdni}/delivery/maps.up/maps/a"
PREPOSITION = send_trigger("place", "preposition", content_urls=[CONTENT])


@pytest.mark.parametrize("ask", [ASK, PREPOSITION])
def test_purge_of_the_collection_that_content_was_in_binds_requests_for_it(ask: str) -> None:
    """Guards against copies older than a purge: metadata moves the content to another collection next."""
    run(f"""
        {ASK}
        {EARLIER_METADATA}
        cache expect w1 within=
        cache send w1 ok - map
        client a expect 200
        {PURGE_EARLIER}
        {INVALIDATE_METADATA}
        {ask}
        {EXPECT_METADATA_CALL}
        cache expect w2 within=?*
    """)


def test_purge_before_the_first_look_at_the_metadata_binds_whatever_it_names() -> None:
    """Guards against the same in a process that starts in between: it can't know the earlier collection."""
    run(f"""
        {PURGE_EARLIER}
        {ASK}
        {EXPECT_METADATA_CALL}
        cache expect w within=?*
    """)


def answer_metadata(ccid: str) -> str:
    """Return the lines that answer a call for the metadata with a collection."""
    return f"""
        peer up expect GET /hostindex
        peer up send 200 MI.HostIndex '{host_index(value={"ccid": ccid})}'
    """


def test_copy_from_before_a_change_of_the_metadata_is_not_served() -> None:
    """Guards against copies older than a purge of a collection that the content was in for a while."""
    scenario = Scenario(CONFIG + DOWNSTREAM_WITHOUT_URLS, 1e6)
    fetch = "cache expect {0}\ncache send {0} ok entity=t,issued={{now}} map\nclient a expect 200"
    scenario.run(f"""
        {ASK}
        {answer_metadata("17")}
        {fetch.format("w1")}
        {ASK}
        {fetch.format("w2")}
        {ASK}
        client a expect 200
        cache expect nothing 30
        {INVALIDATE_METADATA}
        {ASK}
        {answer_metadata("17")}
        client a expect 200
        cache expect nothing 30
        {INVALIDATE_METADATA}
        client a send GET {{cdni}}/delivery/maps.up/maps/b
        {answer_metadata("16")}
        {fetch.format("w3")}
        {INVALIDATE_METADATA}
        {ASK}
        {answer_metadata("17")}
        {fetch.format("w4")}
    """)


CASCADE = """
[[host]]
name = "passed.on"
group = 9
upstream = "AS64496:0"
downstream = "AS64499:0"
[[host.path]]
prefix = "/maps/"
class = "map-tiles"
"""


def generic(kind: str, value: dict[str, str], **more: object) -> dict[str, object]:
    """Return a GenericMetadata object."""
    return {"generic-metadata-type": kind, "generic-metadata-value": value, **more}


def cascaded_index() -> str:
    """Return a HostIndex of a host whose content is in one collection, and in another below a path."""
    inner = {"metadata": [generic("MI.Grouping", {"ccid": "north"})]}
    path = {"path-pattern": {"pattern": "/maps/north/*"}, "path-metadata": inner}
    odd = generic("MI.Odd", {"x": "1"}, **{"mandatory-to-enforce": False})
    entries = [generic("MI.Grouping", {"ccid": "17"}), odd]
    host = {"host": "passed.on", "host-metadata": {"metadata": entries, "paths": [path]}}
    return json.dumps({"hosts": [host]})


def test_downstream_cdn_gets_the_collections_that_the_upstream_names() -> None:
    """Guards against content at a downstream CDN that a purge, forwarded by its collection, doesn't reach."""
    Scenario(CONFIG + CASCADE + DOWNSTREAM).run(f"""
        client d send GET {{cdni}}/metadata/host/passed.on
        peer up expect GET /hostindex
        peer up send 200 MI.HostIndex '{cascaded_index()}' Cache-Control:max-age=50
        client d expect 200 Cache-Control:max-age=4? tag>ETag body='*"17"*"/maps/north/*"north"*'
        client d send GET {{cdni}}/metadata/host/passed.on If-None-Match:{{tag}}
        client d expect 304 Cache-Control:max-age=4?
        client d send GET {{cdni}}/metadata/host/own
        client d expect 200 Cache-Control: body='*"ccid": "3"*'
        {send_trigger("purge", "purge", metadata_urls=["{up}/hostindex"], content_ccid=["17"])}
        peer down expect POST /triggers body='*.urls": ["*/metadata/hostindex", "*/host/passed.on"]*'
        client d send GET {{cdni}}/metadata/host/passed.on
        peer up expect GET /hostindex
        peer up send 500 MI.HostIndex '{{}}'
        client d expect 502
    """)


def test_host_with_too_many_levels_has_no_metadata_downstream() -> None:
    """The bound of what is read for one answer: beyond it, a downstream CDN may not deliver."""
    path = {"path-pattern": {"pattern": "/*"}, "path-metadata": {}}
    host = {"host": "passed.on", "host-metadata": {"paths": [path] * MAX_LEVELS}}
    Scenario(CONFIG + CASCADE + DOWNSTREAM).run(f"""
        client d send GET {{cdni}}/metadata/host/passed.on
        peer up expect GET /hostindex
        peer up send 200 MI.HostIndex '{json.dumps({"hosts": [host]})}'
        client d expect 502 body='*too many*'
    """)
