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
    help="Drive wharftiller: state an intent with 'plan', then 'confirm' the plan it gives.",
    epilog="Exit codes: 0 done, 1 refused (the message says why), 2 bad usage, 3 not reachable.",
)

REPORT_WIDTH = 110
"""Width of a report's tables, in characters."""

REFUSED = 1
BAD_USAGE = 2
NOT_REACHABLE = 3

AdminOption = Annotated[
    str, typer.Option(envvar="WHARF_ADMIN", help="Address of an admin, like 127.0.0.1:7300.")
]
ProxyOption = Annotated[
    list[str], typer.Option(help="Address of a proxy; give it once for each box to ask.")
]
OperatorOption = Annotated[str, typer.Option(envvar="WHARF_OPERATOR", help="Your name.")]
KeyOption = Annotated[str, typer.Option(envvar="WHARF_KEY", help="Your key.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]


def _ask(target: Target, method: str, path: str, body: Any = None) -> Any:
    try:
        status, value = call(target, method, path, body)
    except CallError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(NOT_REACHABLE) from None
    if status >= 400:
        typer.echo(f"{value.get('error')}: {value.get('message')}", err=True)
        raise typer.Exit(REFUSED)
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
    """State an intent and see the plan; nothing happens until it is confirmed.

    Kinds: create_group, remove_group, create_pool, change_pool, remove_pool,
    change_primary, drain_endpoint, return_endpoint. Example:
    wharfctl plan '{kind: "drain_endpoint", group: "sofia-1", endpoint: "sofia-1-a"}'
    """
    try:
        text = Path(intent[1:]).read_text(encoding="utf-8") if intent.startswith("@") else intent
        body = json5.loads(text)
    except (OSError, ValueError) as error:
        typer.echo(f"the intent cannot be read: {error}. Write a JSON object", err=True)
        raise typer.Exit(BAD_USAGE) from None
    value = _ask(Target(admin, operator, key), "POST", "/plans", body)
    _print_json(value) if as_json else _print_plan(value)


@app.command()
def confirm(
    plan_id: str,
    admin: AdminOption,
    operator: OperatorOption,
    key: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Put a plan in force; confirming it again changes nothing more."""
    value = _ask(Target(admin, operator, key), "POST", f"/plans/{plan_id}/confirm")
    _print_json(value) if as_json else _print_plan(value)


@app.command("fingerprint")
def show_fingerprint() -> None:
    """Print what logs call a caller's key, read without an echo or from standard input."""
    key = getpass.getpass("key: ") if sys.stdin.isatty() else sys.stdin.readline().strip()
    if not key:
        typer.echo("no key was given; type it, or pipe it in", err=True)
        raise typer.Exit(BAD_USAGE)
    typer.echo(fingerprint(digest_of_key(key)))


@app.command()
def status(
    admin: AdminOption, operator: OperatorOption, key: KeyOption, as_json: JsonOption = False
) -> None:
    """Show the generation and on how many boxes it is in force."""
    value = _ask(Target(admin, operator, key), "GET", "/status")
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
    day: Annotated[str, typer.Option(help="Like 20261202; today if absent.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show who planned and confirmed what, and every promotion, of one day."""
    path = f"/audit?day={day}" if day else "/audit"
    entries = _ask(Target(admin, operator, key), "GET", path)
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
    """Show the groups, their endpoints and who leads them by the platform's record."""
    value = _ask(Target(admin, operator, key), "GET", "/groups")
    if as_json:
        _print_json(value)
        return
    rows = []
    for row in value:
        record = row["record"] or {}
        for endpoint in row["group"]["endpoints"]:
            leads = "primary" if record.get("primary") == endpoint["name"] else "replica"
            leaving = "leaving" if endpoint["leaving"] else ""
            rows.append(
                [row["group"]["name"], endpoint["name"], leads, record.get("term", 0), leaving]
            )
    _print_table(["group", "endpoint", "role", "term", ""], rows)


@app.command()
def boxes(
    admin: AdminOption, operator: OperatorOption, key: KeyOption, as_json: JsonOption = False
) -> None:
    """Show the platform's lagging list of boxes."""
    value = _ask(Target(admin, operator, key), "GET", "/boxes")
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
    """Show every step of the decisions on a request, as each box remembers them."""
    found = [
        _ask(Target(address, operator, key), "GET", f"/explain/{request_id}") for address in proxy
    ]
    if as_json:
        _print_json(found)
        return
    for answer in found:
        for decision in answer["decisions"]:
            took = f"{decision['took_ms']:.1f} ms"
            typer.echo(f"{answer['box']}: {decision['outcome']} after {took}")
            for step in decision["steps"]:
                typer.echo(f"  {step['kind']:<22} {step['detail']}")
    if not any(answer["decisions"] for answer in found):
        typer.echo(f"no box asked remembers {request_id!r}; each keeps its last 4096", err=True)
        raise typer.Exit(REFUSED)


@app.command()
def replay(trace: Annotated[Path, typer.Argument(help="A file that a proxy recorded.")]) -> None:
    """Run a proxy's recorded decisions again and print every answer with its steps."""
    try:
        header, lines = read_trace(trace)
    except (OSError, BadRequestError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_USAGE) from None
    steps = list(replay_trace(header, lines))
    for step in steps:
        for given in step.answers:
            answer = given.answer
            typer.echo(f"{step.line.at:10.3f} {answer.request_id}: {answer.outcome.value}")
            for reason in answer.steps:
                typer.echo(f"           {reason.kind.value:<22} {reason.detail}")
    different = sum(1 for step in steps if not step.same)
    typer.echo(f"{len(steps)} steps, {different} differ from what was recorded")
    if different:
        raise typer.Exit(REFUSED)


def _events_of(files: list[Path]) -> list[LoggedEvent]:
    events: list[LoggedEvent] = []
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            events.extend(read_events(lines))
    return events


@app.command()
def report(
    files: Annotated[list[Path], typer.Argument(help="Logs of one or more boxes.")],
    svg: Annotated[Path | None, typer.Option(help="Write the tables there as a picture.")] = None,
) -> None:
    """Print who served reads, how long changes of primary took, and what was refused when."""
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
    """Print a request's story from decision logs, with what its boxes believed meanwhile."""
    events = _events_of(files)
    timeline = timeline_of(request_id, events)
    if not timeline:
        typer.echo(
            f"no line tells of {request_id} among {len(events)} events; ordinary answers are "
            "sampled, all others are logged up to a rate: look at the metrics of that moment",
            err=True,
        )
        raise typer.Exit(REFUSED)
    for event in timeline:
        mark = ">" if event.fields.get("request") == request_id else " "
        typer.echo(f"{mark} {event.sentence()}")


@app.command()
def key(
    purpose: Annotated[str, typer.Argument(help="'business' or 'operator'.")],
    name: Annotated[str, typer.Argument(help="POOL/BUSINESS, or the operator's name.")],
    settings: Annotated[Path, typer.Option(help="A box's settings file, with its key ring.")],
) -> None:
    """Print the key of a business or an operator."""
    if purpose not in ("business", "operator"):
        typer.echo(f"{purpose!r} has no keys; use 'business' or 'operator'", err=True)
        raise typer.Exit(BAD_USAGE)
    ring: KeyRing = settings_or_exit(settings).keys
    typer.echo(ring.mint(purpose, name))


@app.command()
def check(settings: Annotated[Path, typer.Argument(help="A box's settings file.")]) -> None:
    """Check a settings file without running anything; tells every fault at once."""
    try:
        load_settings(settings)
    except SettingsErrorGroup as faults:
        print_faults(settings, faults)
        raise typer.Exit(REFUSED) from None
    typer.echo(f"{settings} is usable")


def main() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    main()
