"""Fetches 20 tiles concurrently, revalidates one of them, and sends an alert-ack, which never runs twice.

lupintack demo --json            in one terminal; it prints the addresses
python examples/app.py HOST:PORT [--http1]
"""

from __future__ import annotations

import click

from lupintack.client import Client, Failed, Holds, Refused, Result, Served, Unknown


def format_result(result: Result) -> str:
    """Return a result as one line of text."""
    match result:
        case Served(body=body, tag=tag):
            line = f"served, {len(body)} bytes, tag {tag}"
        case Holds(tag=tag):
            line = f"your copy {tag} holds"
        case Refused(wait_ms=wait):
            line = f"refused, come back in {wait} ms"
        case Failed(status=status, text=text):
            line = f"failed with {status}: {text}"
        case Unknown(why=why):
            line = f"unknown: {why}; it may have run, and was not sent again"
        case _:
            line = "?"
    return f"{line} ({result.tries} tries, {result.took_us / 1000:.1f} ms)"


@click.command()
@click.argument("address")
@click.option("--http1", is_flag=True, help="Use HTTP/1.1 instead of HTTP/2.")
def main(address: str, http1: bool) -> None:
    """Send requests to the router at ADDRESS (host:port)."""
    host, _, port = address.rpartition(":")
    with Client((host, int(port)), http2=not http1) as client:
        calls = [client.begin("map-tiles", f"{n:016x}", wait_ms=1500) for n in range(20)]
        results = [call.result() for call in calls]
        print("20 tiles:", sum(isinstance(result, Served) for result in results), "served")
        first = results[0]
        if isinstance(first, Served):
            print("again:", format_result(client.get("map-tiles", f"{0:016x}", have=first.tag)))
        print("alert-ack:", format_result(client.put("alert-ack", f"{7:016x}", b"seen")))


if __name__ == "__main__":
    main()
