"""What the daemons' commands share: settings, logs, signals."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import trio
import typer

from wharftiller.logs import set_up_logs
from wharftiller.settings import Settings, SettingsErrorGroup, load_settings

BAD_SETTINGS = 2

Run = Callable[[], Awaitable[None]]
Stop = Callable[[], None] | None


def settings_or_exit(path: Path) -> Settings:
    """Return the settings of ``path``, or print every fault and exit with 2."""
    try:
        return load_settings(path)
    except SettingsErrorGroup as faults:
        print_faults(path, faults)
        raise typer.Exit(BAD_SETTINGS) from None


def print_faults(path: Path, faults: SettingsErrorGroup) -> None:
    """Print one line per fault: file, line, what is wrong and the remedy."""
    for fault in faults.exceptions:
        line = getattr(fault, "line", None)
        place = f"{path}:{line}" if line else str(path)
        typer.echo(f"{place}: {fault}", err=True)


def run_daemon(
    path: Path,
    check: bool,
    main: Callable[[Settings], tuple[Run, Stop]],
) -> None:
    """Check settings, then run a daemon until it is told to stop.

    Parameters
    ----------
    main : callable
        Returns the daemon's ``run`` and, if it can stop gently, its ``stop``.
    """
    settings = settings_or_exit(path)
    if check:
        typer.echo(f"{path} is usable")
        return
    set_up_logs(settings.logs.level)
    run, stop = main(settings)
    trio.run(_run_until_told, run, stop)


async def _run_until_told(run: Run, stop: Stop) -> None:
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            nursery.start_soon(_stop_on_signal, signals, stop, nursery)
            await run()
            nursery.cancel_scope.cancel()


async def _stop_on_signal(signals: AsyncIterator[int], stop: Stop, nursery: trio.Nursery) -> None:
    first = True
    async for _ in signals:
        if stop is None or not first:
            nursery.cancel_scope.cancel()
            return
        first = False
        stop()
