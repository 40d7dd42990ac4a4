"""The ``shallotroad fleet`` command."""

from __future__ import annotations

import click

from shallotroad.console.status_client import request_or_exit


@click.command()
@click.argument("address")
def fleet(address: str) -> None:
    """Print the agents that the entry at ADDRESS connects to, with their load."""
    data = request_or_exit(address, "/debug/dump")
    click.echo(
        f"{data['instance']} ({data['data_centre']}): revision {data['revision']}, "
        f"{data['open_requests']} open requests"
    )
    for peer in data["peers"]:
        if not peer["connected"]:
            state = "not connected"
        elif peer["accepting"]:
            state = "accepting"
        else:
            state = "not accepting"
        queued = "/".join(str(count) for count in peer["queued_by_tier"])
        click.echo(
            f"  {peer['instance']:<16} {state:<14} permits "
            f"{peer['running']}/{peer['limit']}  queued by tier {queued}  "
            f"in flight here {peer['in_flight']}"
        )
