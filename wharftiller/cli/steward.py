"""The command `wharf-steward`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from wharftiller.cli.daemon import Run, Stop, run_daemon
from wharftiller.daemons.steward import StewardDaemon
from wharftiller.edges.transport import TcpTransport
from wharftiller.settings import Settings


def _daemon(settings: Settings) -> tuple[Run, Stop]:
    daemon = StewardDaemon(settings, TcpTransport())
    return daemon.run, None


def _command(
    settings: Annotated[Path, typer.Option(help="The box's settings file.")],
    check: Annotated[bool, typer.Option(help="Only check the settings.")] = False,
) -> None:
    """Monitor groups, run failovers, distribute configuration."""
    run_daemon(settings, check, _daemon)


def main() -> None:
    """Run the command."""
    typer.run(_command)


if __name__ == "__main__":
    main()
