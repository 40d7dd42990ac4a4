"""``shallotroad explain``."""

from __future__ import annotations

import click

from shallotroad.console.status_client import request_or_exit


@click.command()
@click.argument("address")
@click.option("--key", envvar="SHALLOTROAD_KEY", required=True, help="Team's key.")
@click.option("--model", required=True, help="Model of the request.")
@click.option("--request-class", default="", help="Class, when not by length.")
@click.option("--max-tokens", type=int, help="Most tokens of the answer.")
@click.option("--prompt", default="", help="Prompt, for its cached beginning.")
def explain(
    address: str,
    key: str,
    model: str,
    request_class: str,
    max_tokens: int | None,
    prompt: str,
) -> None:
    """Tell where the entry at ADDRESS would send a chat request, and why."""
    message = {"role": "user", "content": prompt}
    body: dict[str, object] = {"model": model, "messages": [message]}
    if max_tokens is not None:
        body["max_tokens"] = max_tokens
    headers = {"Authorization": f"Bearer {key}"}
    if request_class:
        headers["X-Request-Class"] = request_class
    found = request_or_exit(
        address, "/debug/explain", method="POST", body=body, headers=headers
    )
    click.echo(f"class {found['class']}, tier {found['tier']}")
    for row in found["candidates"]:
        click.echo(
            f"  {row['name']}: starts in {row['expected_start_s']:.3f} s "
            f"(running {row['running']} of {row['limit']}, ahead {row['ahead']}, "
            f"prefix saves {row['prefix_saving_s']:.3f} s)"
        )
    for row in found["rejected"]:
        click.echo(f"  {row['name']}: {row['reason']}")
