"""The operators' command line: intents, plans, confirmation, status, explanations."""

from __future__ import annotations

import getpass
import json
import sys
import time
from pathlib import Path
from typing import Annotated, Any

import json5
import typer
from rich.console import Console
from rich.table import Table

from wharftiller.cli.calls import CallError, Target, call
from wharftiller.cli.daemon import print_faults, settings_or_exit
from wharftiller.cli.report_tables import tables_of
from wharftiller.core.errors import BadRequestError
from wharftiller.core.sessions.workspaces import digest_of_key, fingerprint
from wharftiller.keys import KeyRing
from wharftiller.request_timeline import LoggedEvent, read_events, timeline_of
from wharftiller.run_report import report_of
from wharftiller.settings import SettingsErrorGroup, load_settings
from wharftiller.traces import read_trace
from wharftiller.traces import replay as replay_trace

app = typer.Typer(
    no_args_is_help=True,
    help="Operate wharftiller: make a plan with 'plan', then apply it with 'confirm'.",
    epilog="Exit codes: 0 done, 1 refused (the message says why), 2 bad usage, 3 not reachable.",
)

REPORT_WIDTH = 110
"""Width of a report's tables, in characters."""

EXIT_REFUSED = 1
EXIT_BAD_USAGE = 2
EXIT_NOT_REACHABLE = 3

AdminOption = Annotated[
    str, typer.Option(envvar="WHARF_ADMIN", help="Address of an admin, like 127.0.0.1:7300.")
]
ProxyOption = Annotated[
    list[str], typer.Option(help="Address of a proxy; repeat it for several boxes.")
]
OperatorOption = Annotated[str, typer.Option(envvar="WHARF_OPERATOR", help="Your name.")]
KeyOption = Annotated[str, typer.Option(envvar="WHARF_KEY", help="Your key.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]


def _request(target: Target, method: str, path: str, body: Any = None) -> Any:
    try:
        status, value = call(target, method, path, body)
    except CallError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_NOT_REACHABLE) from None
    if status >= 400:
        typer.echo(f"{value.get('error')}: {value.get('message')}", err=True)
        raise typer.Exit(EXIT_REFUSED)
    return value


def _print_json(value: Any) -> None:
    typer.echo(json.dumps(value, indent=2, ensure_ascii=False))


def _print_table(columns: list[str], rows: list[list[Any]]) -> None:
    table = Table(*columns)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)


def _print_plan(plan: dict[str, Any]) -> None:
    typer.echo(
        f"plan {plan['plan']} by {plan['operator']}, on generation {plan['base_generation']}"
    )
    for line in plan["differences"]:
        typer.echo(f"  changes  {line}")
    for line in plan["checks"]:
        typer.echo(f"  checked  {line}")
    if plan["generation"]:
        typer.echo(f"confirmed by {plan['confirmed_by']}: generation {plan['generation']}")
    else:
        typer.echo(f"nothing has changed yet; confirm with: wharfctl confirm {plan['plan']}")


@app.command()
def plan(
    intent: Annotated[
        str, typer.Argument(help="The intent as JSON with comments, or @FILE that holds it.")
    ],
    admin: AdminOption,
    operator: OperatorOption,
    key: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Make and print the plan of an intent; nothing changes until it is confirmed.

    Kinds: create_group, remove_group, create_pool, change_pool, remove_pool,
    change_primary, drain_endpoint, return_endpoint. Example:
    wharfctl plan '{kind: "drain_endpoint", group: "sofia-1", endpoint: "sofia-1-a"}'
    """
    try:
        text = Path(intent[1:]).read_text(encoding="utf-8") if intent.startswith("@") else intent
        body = json5.loads(text)
    except (OSError, ValueError) as error:
        typer.echo(f"the intent cannot be read: {error}. Write a JSON object", err=True)
        raise typer.Exit(EXIT_BAD_USAGE) from None
    value = _request(Target(admin, operator, key), "POST", "/plans", body)
    _print_json(value) if as_json else _print_plan(value)


@app.command()
def confirm(
    plan_id: str,
    admin: AdminOption,
    operator: OperatorOption,
    key: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Apply a plan; confirming it again has no effect."""
    value = _request(Target(admin, operator, key), "POST", f"/plans/{plan_id}/confirm")
    _print_json(value) if as_json else _print_plan(value)


@app.command("fingerprint")
def show_fingerprint() -> None:
    """Print the fingerprint of a caller's key, read without echo or from standard input."""
    key = getpass.getpass("key: ") if sys.stdin.isatty() else sys.stdin.readline().strip()
    if not key:
        typer.echo("no key was given; type it, or pipe it in", err=True)
        raise typer.Exit(EXIT_BAD_USAGE)
    typer.echo(fingerprint(digest_of_key(key)))


@app.command()
def status(
    admin: AdminOption, operator: OperatorOption, key: KeyOption, as_json: JsonOption = False
) -> None:
    """Show the generation and the number of boxes on which it is in force."""
    value = _request(Target(admin, operator, key), "GET", "/status")
    if as_json:
        _print_json(value)
        return
    boxes = value["boxes"]
    typer.echo(
        f"generation {value['generation']} is in force on {value['in_force_on']} of {len(boxes)}"
    )
    rows = [[box["box"], box["data_centre"], box["generation"], box["leaving"]] for box in boxes]
    _print_table(["box", "data centre", "generation", "leaving"], rows)


@app.command()
def audit(
    admin: AdminOption,
    operator: OperatorOption,
    key: KeyOption,
    day: Annotated[str, typer.Option(help="A day such as 20261202; default today.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the plans, their confirmations and the promotions of one day."""
    path = f"/audit?day={day}" if day else "/audit"
    entries = _request(Target(admin, operator, key), "GET", path)
    if as_json:
        _print_json(entries)
        return
    _print_table(
        ["at (UTC)", "who", "what", "generation or term"], [_audit_row(e) for e in entries]
    )


def _audit_row(entry: dict[str, Any]) -> list[Any]:
    at = time.strftime("%H:%M:%S", time.gmtime(entry.get("planned_at") or entry.get("at", 0)))
    if entry.get("kind") == "promotion":
        what = f"{entry['primary']} leads {entry['group']}"
        return [at, f"steward {entry['owner']}", what, entry["term"]]
    who = f"{entry['operator']}, confirmed by {entry['confirmed_by'] or 'nobody'}"
    return [at, who, "; ".join(entry["differences"]), entry["generation"] or "-"]


@app.command()
def groups(
    admin: AdminOption, operator: OperatorOption, key: KeyOption, as_json: JsonOption = False
) -> None:
    """Show the groups, their endpoints and their primaries by the platform's records."""
    value = _request(Target(admin, operator, key), "GET", "/groups")
    if as_json:
        _print_json(value)
        return
    rows = []
    for row in value:
        record = row["record"] or {}
        for endpoint in row["group"]["endpoints"]:
            role = "primary" if record.get("primary") == endpoint["name"] else "replica"
            leaving = "leaving" if endpoint["leaving"] else ""
            rows.append(
                [row["group"]["name"], endpoint["name"], role, record.get("term", 0), leaving]
            )
    _print_table(["group", "endpoint", "role", "term", ""], rows)


@app.command()
def boxes(
    admin: AdminOption, operator: OperatorOption, key: KeyOption, as_json: JsonOption = False
) -> None:
    """Show the platform's list of boxes, which may lag."""
    value = _request(Target(admin, operator, key), "GET", "/boxes")
    if as_json:
        _print_json(value)
        return
    rows = [[box["name"], box["data_centre"], box["proxy"], box["leaving"]] for box in value]
    _print_table(["box", "data centre", "proxy", "leaving"], rows)


@app.command()
def explain(
    request_id: str,
    proxy: ProxyOption,
    operator: OperatorOption,
    key: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Show every step of each box's recent decisions on a request."""
    replies = [
        _request(Target(address, operator, key), "GET", f"/explain/{request_id}")
        for address in proxy
    ]
    if as_json:
        _print_json(replies)
        return
    for reply in replies:
        for decision in reply["decisions"]:
            took = f"{decision['took_ms']:.1f} ms"
            typer.echo(f"{reply['box']}: {decision['outcome']} after {took}")
            for step in decision["steps"]:
                typer.echo(f"  {step['kind']:<22} {step['detail']}")
    if not any(reply["decisions"] for reply in replies):
        typer.echo(
            f"these boxes keep no decision on {request_id!r}; each keeps its last 4096", err=True
        )
        raise typer.Exit(EXIT_REFUSED)


@app.command()
def replay(trace: Annotated[Path, typer.Argument(help="A file that a proxy recorded.")]) -> None:
    """Replay a proxy's recorded decisions and print every answer with its steps."""
    try:
        header, lines = read_trace(trace)
    except (OSError, BadRequestError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_USAGE) from None
    steps = list(replay_trace(header, lines))
    for step in steps:
        for output in step.answers:
            answer = output.answer
            typer.echo(f"{step.line.at:10.3f} {answer.request_id}: {answer.outcome.value}")
            for reason in answer.steps:
                typer.echo(f"           {reason.kind.value:<22} {reason.detail}")
    different = sum(1 for step in steps if not step.is_same)
    typer.echo(f"{len(steps)} steps, {different} differ from what was recorded")
    if different:
        raise typer.Exit(EXIT_REFUSED)


def _events_of(files: list[Path]) -> list[LoggedEvent]:
    events: list[LoggedEvent] = []
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            events.extend(read_events(lines))
    return events


@app.command()
def report(
    files: Annotated[list[Path], typer.Argument(help="Logs of one or more boxes.")],
    svg: Annotated[
        Path | None, typer.Option(help="Also write the tables to this SVG file.")
    ] = None,
) -> None:
    """Print where reads ran, how long failovers took, and what was refused when."""
    console = Console(record=svg is not None, width=REPORT_WIDTH)
    for table in tables_of(report_of(_events_of(files))):
        console.print(table)
    if svg is not None:
        console.save_svg(str(svg), title="wharftiller")


@app.command()
def trace(
    request_id: Annotated[str, typer.Argument(help="The request's id.")],
    files: Annotated[list[Path], typer.Argument(help="Logs of one or more boxes.")],
) -> None:
    """Print a request's timeline from decision logs, with the state changes of its boxes."""
    events = _events_of(files)
    timeline = timeline_of(request_id, events)
    if not timeline:
        typer.echo(
            f"no line tells of {request_id} among {len(events)} events; ordinary answers are "
            "sampled, all others are logged up to a rate: look at the metrics of that moment",
            err=True,
        )
        raise typer.Exit(EXIT_REFUSED)
    for event in timeline:
        marker = ">" if event.fields.get("request") == request_id else " "
        typer.echo(f"{marker} {event.as_line()}")


@app.command()
def key(
    purpose: Annotated[str, typer.Argument(help="'business' or 'operator'.")],
    name: Annotated[str, typer.Argument(help="POOL/BUSINESS, or the operator's name.")],
    settings: Annotated[Path, typer.Option(help="A box's settings file, with its key ring.")],
) -> None:
    """Print the key of a business or an operator."""
    if purpose not in ("business", "operator"):
        typer.echo(f"{purpose!r} has no keys; use 'business' or 'operator'", err=True)
        raise typer.Exit(EXIT_BAD_USAGE)
    ring: KeyRing = settings_or_exit(settings).keys
    typer.echo(ring.mint(purpose, name))


@app.command()
def check(settings: Annotated[Path, typer.Argument(help="A box's settings file.")]) -> None:
    """Check a settings file without running anything; reports every fault."""
    try:
        load_settings(settings)
    except SettingsErrorGroup as faults:
        print_faults(settings, faults)
        raise typer.Exit(EXIT_REFUSED) from None
    typer.echo(f"{settings} is usable")


def main() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    main()
