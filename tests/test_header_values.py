"""What another party sends can't change the head of an answer or of a call to a third one."""

from __future__ import annotations

import json
import socket
import unittest.mock
from collections import Counter
from typing import Any

import pytest

from lupintack.fronts.cdni import client
from lupintack.fronts.exchange import checked_response
from lupintack.standins.net import address_of, listen
from tests.app import App
from tests.scenario import MessageReader, Scenario
from tests.site import site
from tests.test_cdni import CONFIG, DOWNSTREAM, RI_TYPE, redirection_request

SPLIT = "http://d/x\r\nSet-Cookie: a=b\r\n\r\nHTTP/1.1 200 OK"
BAD_LOCATIONS = [SPLIT, "http://d/a b", "http://d/\u20ac", "/relative", "javascript:x", 7, ["http://d/x"], ""]


@pytest.mark.parametrize("location", BAD_LOCATIONS)
def test_redirection_of_a_downstream_cdn_that_no_head_can_hold_is_passed_over(location: object) -> None:
    """Guards against an answer of the client's that a downstream CDN splits in two: it is delivered here."""
    redirection = {"http": {"sc-status": 302, "sc-(location)": location}}
    scenario = Scenario(CONFIG + DOWNSTREAM)
    body = json.dumps(redirection)
    scenario.run(
        f"""
        client a send GET {{cdni}}/content/own/maps/a
        peer down expect POST /ri
        peer down send 200 redirection-response '{body}'
        cache expect w
        cache send w ok - here
        client a expect 200 Set-Cookie: Location: body=here
        """
    )
    assert scenario.node.core.counters["cdni.redirect.passed_over"] == 1


@pytest.mark.parametrize(
    "uri", ["http://maps.up/maps/a b", "http://maps.up/maps/\u20ac", "http://maps.up/\r\nX: 1"]
)
def test_uri_that_no_location_can_hold_is_refused(uri: str) -> None:
    """Guards against a Location that the upstream CDN's client reads as another one."""
    body = redirection_request(uri)
    Scenario(CONFIG + DOWNSTREAM).run(f"""
        client u send POST {{cdni}}/ri {RI_TYPE} body='{body}'
        client u expect 400 body=cs-uri*
    """)


@pytest.mark.parametrize(
    ("value", "is_valid"),
    [
        ("plain", True),
        ("", True),
        (7, True),
        ("two words, and a tab\t.", True),
        ("caf\xe9", True),
        ("a\r\nb", False),
        ("a\nb", False),
        ("a\0b", False),
        ("\u20ac", False),
        (" ends with white space ", False),
        ("\x7f", False),
    ],
)
def test_answer_with_a_field_that_reads_otherwise_becomes_an_error(value: object, is_valid: bool) -> None:
    """Guards against any caller of the encoder: both HTTP fronts check an answer before it is encoded."""
    counters: Counter[str] = Counter()
    response = checked_response(200, [("X-Test", value)], b"body", lambda name: counters.update([name]))
    assert (response.status, bytes(response.body)) == ((200, b"body") if is_valid else (500, b""))
    assert counters["answer.invalid_field"] == (not is_valid)


def test_both_http_fronts_answer_500_in_place_of_an_invalid_field() -> None:
    def handle(self: Any, exchange: Any) -> None:
        exchange.answer(200, [("Location", SPLIT)], b"body")

    with unittest.mock.patch("lupintack.fronts.platform.Platform.handle", handle), site() as running_site:
        app = App(running_site.node.http2[0].sock.getsockname())
        running_site.apps.append(app)
        stream = app.send_request("GET", "/x")
        assert app.read_response(stream).status == 500
        with socket.create_connection(running_site.node.http1.sock.getsockname()) as sock:
            sock.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = b""
            while data := sock.recv(65536):
                answer += data
    assert answer.startswith(b"HTTP/1.1 500 ") and b"Set-Cookie" not in answer and b"body" not in answer


ACCEPT = {"Accept": "application/cdni; ptype=MI.HostIndex"}


@pytest.mark.parametrize(
    ("url", "headers"),
    [
        ("http://{up}/a b", ACCEPT),
        ("http://{up}/a\r\nX-Evil: 1", ACCEPT),
        ("http://{up}/a\tb", ACCEPT),
        ("http://{up}/\x85", ACCEPT),
        ("http://{up}/\u20ac", ACCEPT),
        ("http://user@{up}/", ACCEPT),
        ("http://{up}/", {"Accept": "x\r\nX-Evil: 1"}),
        ("http://{up}/", {"Accept": "\u20ac"}),
    ],
)
def test_call_to_another_cdn_that_would_read_otherwise_is_not_made(url: str, headers: dict[str, str]) -> None:
    """Guards against links and types in a CDN's documents that write fields of a call to another one."""
    received: list[str] = []
    with listen(lambda sock: received.append(MessageReader(sock).read_message()[0])) as up:
        with pytest.raises(client.CallError):
            client.call("GET", url.replace("{up}", address_of(up)), 200_000, headers=headers)
        assert not received


def test_type_of_a_link_in_metadata_is_no_field_of_the_call() -> None:
    """Guards against the same, from the document to the wire: the delivery fails, nothing is called."""
    link = {"href": "{up}/host", "type": "MI.HostMetadata\r\nX-Evil: 1"}
    index = json.dumps({"hosts": [{"host": "maps.up", "host-metadata": link}]})
    Scenario(CONFIG + DOWNSTREAM).run(f"""
        client a send GET {{cdni}}/delivery/maps.up/maps/a
        peer up expect GET /hostindex
        peer up send 200 MI.HostIndex '{index}'
        client a expect 502 body=*Accept*
        cache expect nothing 30
    """)
