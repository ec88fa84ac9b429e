"""Common code of the daemons' commands: settings, logs, signals."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import trio
import typer

from wharftiller.logs import set_up_logs
from wharftiller.settings import Settings, SettingsErrorGroup, load_settings

EXIT_BAD_SETTINGS = 2

Run = Callable[[], Awaitable[None]]
Stop = Callable[[], None] | None


def settings_or_exit(path: Path) -> Settings:
    """Return the settings of ``path``, or print every fault and exit with 2."""
    try:
        return load_settings(path)
    except SettingsErrorGroup as faults:
        print_faults(path, faults)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None


def print_faults(path: Path, faults: SettingsErrorGroup) -> None:
    """Print one line per fault: file, line, what is wrong and the remedy."""
    for fault in faults.exceptions:
        line = getattr(fault, "line", None)
        location = f"{path}:{line}" if line else str(path)
        typer.echo(f"{location}: {fault}", err=True)


def run_daemon(
    path: Path,
    check: bool,
    create: Callable[[Settings], tuple[Run, Stop]],
) -> None:
    """Check settings, then run a daemon until a signal stops it.

    Parameters
    ----------
    create : callable
        Returns the daemon's ``run`` and, if it supports a graceful stop, its ``stop``.
    """
    settings = settings_or_exit(path)
    if check:
        typer.echo(f"{path} is usable")
        return
    set_up_logs(settings.logs.level)
    run, stop = create(settings)
    trio.run(_run_until_signalled, run, stop)


async def _run_until_signalled(run: Run, stop: Stop) -> None:
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            nursery.start_soon(_stop_on_signal, signals, stop, nursery)
            await run()
            nursery.cancel_scope.cancel()


async def _stop_on_signal(signals: AsyncIterator[int], stop: Stop, nursery: trio.Nursery) -> None:
    is_first = True
    async for _ in signals:
        if stop is None or not is_first:
            nursery.cancel_scope.cancel()
            return
        is_first = False
        stop()
