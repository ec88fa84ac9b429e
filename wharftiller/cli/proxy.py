"""The command `wharf-proxy`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from wharftiller.cli.daemon import Run, Stop, run_daemon
from wharftiller.daemons.proxy import ProxyDaemon
from wharftiller.edges.transport import TcpTransport
from wharftiller.settings import Settings


def _command(
    settings: Annotated[Path, typer.Option(help="The box's settings file.")],
    check: Annotated[bool, typer.Option(help="Only check the settings.")] = False,
    record: Annotated[
        Path | None, typer.Option(help="Record every decision in this file; see 'wharfctl replay'.")
    ] = None,
) -> None:
    """Serve callers' statements."""

    def create(loaded: Settings) -> tuple[Run, Stop]:
        trace = record.open("w", encoding="utf-8") if record else None
        daemon = ProxyDaemon(loaded, TcpTransport(), trace=trace)
        return daemon.run, daemon.stop

    run_daemon(settings, check, create)


def main() -> None:
    """Run the command."""
    typer.run(_command)


if __name__ == "__main__":
    main()
