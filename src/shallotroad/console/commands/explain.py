"""The ``shallotroad explain`` command."""

from __future__ import annotations

import click

from shallotroad.console.status_client import request_or_exit


@click.command()
@click.argument("address")
@click.option(
    "--key", envvar="SHALLOTROAD_KEY", required=True, help="API key of the team."
)
@click.option("--model", required=True, help="Model of the request.")
@click.option(
    "--request-class",
    default="",
    help="Class of the request; chosen by --max-tokens if empty.",
)
@click.option("--max-tokens", type=int, help="Maximum number of tokens of the answer.")
@click.option(
    "--prompt", default="", help="Prompt, to estimate the saving by cached prefixes."
)
def explain(
    address: str,
    key: str,
    model: str,
    request_class: str,
    max_tokens: int | None,
    prompt: str,
) -> None:
    """Print where the entry at ADDRESS would send a chat request, and why."""
    message = {"role": "user", "content": prompt}
    body: dict[str, object] = {"model": model, "messages": [message]}
    if max_tokens is not None:
        body["max_tokens"] = max_tokens
    headers = {"Authorization": f"Bearer {key}"}
    if request_class:
        headers["X-Request-Class"] = request_class
    explanation = request_or_exit(
        address, "/debug/explain", method="POST", body=body, headers=headers
    )
    click.echo(f"class {explanation['class']}, tier {explanation['tier']}")
    for row in explanation["candidates"]:
        click.echo(
            f"  {row['name']}: starts in {row['expected_start_s']:.3f} s "
            f"(running {row['running']} of {row['limit']}, ahead {row['ahead']}, "
            f"prefix saves {row['prefix_saving_s']:.3f} s)"
        )
    for row in explanation["rejected"]:
        click.echo(f"  {row['name']}: {row['reason']}")
