"""Purges by CDNI bind when they are taken, whatever other triggers and other CDNs do."""

from __future__ import annotations

from tests.scenario import Scenario
from tests.test_cdni import CI_TYPE, CONFIG, DOWNSTREAM, DOWNSTREAM_WITHOUT_URLS, command

GROUP = 17
CONTENT = ["http://maps.up/maps/a", "http://maps.up/maps/b"]


def send_trigger(name: str, kind: str = "purge", **selectors: list[str]) -> str:
    """Return the lines that send a trigger, and store its URL under `name`."""
    body = command(kind, ("AS64496:0",), **selectors)
    return f"""
        client u send POST {{cdni}}/triggers {CI_TYPE} body='{body}'
        client u expect 201 {name}>Location
    """


def test_purge_binds_at_once_while_all_workers_preposition() -> None:
    """Guards against copies from before a purge that waits behind prepositions, while the origin is slow."""
    Scenario(CONFIG + DOWNSTREAM_WITHOUT_URLS).run(f"""
        {send_trigger("one", "preposition", content_urls=CONTENT[:1])}
        cache expect w1 cls=map-tiles
        {send_trigger("two", "preposition", content_urls=CONTENT[1:])}
        cache expect w2 cls=map-tiles
        {send_trigger("three", "preposition", content_urls=CONTENT)}
        {send_trigger("purge", content_ccid=[str(GROUP)])}
        client a send GET /ops/river-video/00000000000000aa X-Batch:{GROUP}
        cache expect w3 cls=river-video within=?*
        cache send w3 ok - fresh
        client a expect 200 body=fresh
        client u wait {{purge}} body='*"status": "complete"*'
        client u send GET {{one}}
        client u expect 200 body='*"status": "active"*'
    """)


def test_purge_binds_at_once_while_a_downstream_cdn_is_silent() -> None:
    """Guards against copies from before a purge that waits for the end of others at a downstream CDN."""
    purges = [send_trigger(f"p{n}", content_ccid=[str(n)]) for n in range(4)]
    Scenario(CONFIG + DOWNSTREAM).run(f"""
        {purges[0]}
        peer down expect POST /triggers
        {purges[1]} {purges[2]} {purges[3]}
        client a send GET /ops/river-video/00000000000000aa X-Batch:3
        cache expect w cls=river-video within=?*
        cache send w ok - fresh
        client a expect 200 body=fresh
    """)
