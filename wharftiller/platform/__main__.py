"""Run a session proxy on the platform: ``python3 -m wharftiller.platform``."""

from __future__ import annotations

import os
import signal
import sys
from functools import partial
from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import WharfError
from wharftiller.daemons.sessions.proxy import BoxIdentity, SessionProxy
from wharftiller.decisions import DecisionLog
from wharftiller.edges.http_server import HttpHandler, HttpRequest, HttpResponse, serve_stream
from wharftiller.edges.transport import CountedTransport, TcpTransport
from wharftiller.platform.callers import CallerServer
from wharftiller.platform.endpoints import LineDialer
from wharftiller.platform.holders import PlatformHolders
from wharftiller.platform.objects import SharedPlatformObjects, decode_configuration
from wharftiller.platform.promotions import PlatformPromotions
from wharftiller.platform.settings import ProcessSettings, load_settings
from wharftiller.platform.store import ObjectStore
from wharftiller.platform.watches import PlatformWatches

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from wharftiller.daemons.sessions.state import SharedState
    from wharftiller.edges.transport import Handler, Transport

SETTINGS_VARIABLE = "WHARFTILLER_SETTINGS"
"""Environment variable that names the settings file."""

DEFAULT_SETTINGS = "/etc/wharftiller/settings.json"
"""Path of the settings file where the variable is unset."""

BAD_SETTINGS = 2
"""Exit status when the settings cannot be used."""

READY_PATH = "/v1/readiness"
"""Path at which the platform's load balancer checks whether to send new sessions here."""


class PlatformProcess:
    """Runs the session proxy with the platform's adapters.

    Parameters
    ----------
    path : str
        Path of the settings file, checked again on SIGHUP.
    """

    def __init__(
        self, settings: ProcessSettings, path: str, transport: Transport, log: DecisionLog
    ) -> None:
        self._settings = settings
        self._path = path
        self._log = log
        # Callers' connections are not counted here; connection admission counts them.
        self._caller_transport = transport
        self._transport = CountedTransport(transport)
        self.proxy: SessionProxy | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            await self.serve(lambda: self._wait_for_stop_signal(signals))

    async def serve(self, wait_for_stop: Callable[[], Awaitable[None]]) -> None:
        """Serve until ``wait_for_stop`` returns and accepted statements are answered."""
        settings = self._settings
        async with trio.open_nursery() as nursery:
            proxy = self.proxy = self._compose(nursery)
            self._log.change("started", pid=os.getpid(), data_centre=settings.data_centre)
            callers = CallerServer(proxy)
            await nursery.start(self._caller_transport.serve, settings.callers, callers.serve)
            await nursery.start(
                self._transport.serve, settings.ready, self._readiness_handler(proxy)
            )
            await nursery.start(
                self._transport.serve, settings.boxes, self._http_handler(proxy.handle_box)
            )
            await nursery.start(self._transport.serve, settings.relay, proxy.relay.serve)
            metrics = self._http_handler(proxy.handle_metrics)
            await nursery.start(self._transport.serve, settings.metrics, metrics)
            proxy.start()
            await wait_for_stop()
            await proxy.stop()
            nursery.cancel_scope.cancel()

    def _compose(self, nursery: trio.Nursery) -> SessionProxy:
        settings = self._settings
        store = ObjectStore(self._transport, settings.store, self._log)
        decode = partial(decode_configuration, needs_workspaces=settings.needs_workspaces)

        def make_watches(state: SharedState, missed: Callable[[], None]) -> PlatformWatches:
            return PlatformWatches(store, settings.bounds, decode, state, missed, self._log)

        return SessionProxy(
            BoxIdentity(
                name=settings.box,
                data_centre=settings.data_centre,
                address=settings.boxes,
                relay=settings.relay,
                seeds=settings.seeds,
                bounds=settings.bounds,
                first_start=settings.first_start,
            ),
            self._transport,
            LineDialer(self._transport, settings.box),
            SharedPlatformObjects(store, self._log),
            PlatformHolders(store, self._log),
            make_watches,
            PlatformPromotions(self._transport, settings.duties),
            self._log,
            decode,
            nursery,
            settings.limits,
            lambda: self._transport.open_streams,
        )

    async def _wait_for_stop_signal(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            if number != signal.SIGHUP:
                return
            self._recheck_settings()

    def _recheck_settings(self) -> None:
        """Check the settings file and log the result; changes apply at the next start only."""
        try:
            changed = load_settings(self._path) != self._settings
        except WharfError as error:
            self._log.change("settings_unusable", why=str(error))
            return
        self._log.change("settings_reloaded", differ=changed)

    def _http_handler(self, handler: HttpHandler) -> Handler:
        async def serve(stream: trio.abc.Stream) -> None:
            try:
                await serve_stream(stream, handler)
            except Exception as error:
                # An error in one handler must not end the process.
                self._log.change("answer_failed", why=repr(error))

        return serve

    def _readiness_handler(self, proxy: SessionProxy) -> Handler:
        async def handle(request: HttpRequest) -> HttpResponse:
            if request.path != READY_PATH:
                return HttpResponse(404, {"error": f"ask {READY_PATH}"})
            return HttpResponse(200 if proxy.is_ready else 503, {"ready": proxy.is_ready})

        return self._http_handler(handle)


def main() -> None:
    """Run the process."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
    try:
        settings = load_settings(path)
    except WharfError as error:
        print(error, file=sys.stderr)
        sys.exit(BAD_SETTINGS)
    os.set_blocking(sys.stdout.fileno(), False)
    log = DecisionLog("proxy", settings.box)
    trio.run(PlatformProcess(settings, path, TcpTransport(), log).run)


if __name__ == "__main__":
    main()
