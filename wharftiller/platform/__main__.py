"""Run a session proxy on the platform: ``python3 -m wharftiller.platform``."""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import WharfError
from wharftiller.daemons.sessions.proxy import BoxIdentity, SessionProxy
from wharftiller.decisions import DecisionLog
from wharftiller.edges.http_server import HttpRequest, HttpResponse, serve_stream
from wharftiller.edges.transport import Handler, TcpTransport
from wharftiller.platform.callers import CallerServer
from wharftiller.platform.duties import PlatformPromotions
from wharftiller.platform.endpoints import LineDialer
from wharftiller.platform.feeds import PlatformFeeds
from wharftiller.platform.objects import SharedPlatformObjects, decode_configuration
from wharftiller.platform.settings import ProcessSettings, load_settings
from wharftiller.platform.store import ObjectStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SETTINGS_VARIABLE = "WHARFTILLER_SETTINGS"
DEFAULT_SETTINGS = "/etc/wharftiller/settings.json"
BAD_SETTINGS = 2
READY_PATH = "/v1/readiness"


class PlatformProcess:
    """Composes the session proxy with the platform's edges."""

    def __init__(self, settings: ProcessSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        self._log = DecisionLog("proxy", settings.box)
        self._transport = TcpTransport()

    async def run(self) -> None:
        """Serve until told to stop."""
        settings = self._settings
        store = ObjectStore(self._transport, settings.store, self._log)
        async with trio.open_nursery() as nursery:
            proxy = SessionProxy(
                BoxIdentity(
                    settings.box,
                    settings.data_centre,
                    settings.boxes,
                    settings.seeds,
                    settings.grace_s,
                ),
                self._transport,
                LineDialer(self._transport, settings.box),
                SharedPlatformObjects(store, self._log),
                lambda state, missed: PlatformFeeds(store, state, missed, self._log),
                PlatformPromotions(self._transport, settings.duties),
                self._log,
                decode_configuration,
                nursery,
            )
            self._log.change("started", pid=os.getpid(), data_centre=settings.data_centre)
            callers = CallerServer(proxy)
            await nursery.start(self._transport.serve, settings.callers, callers.serve)
            await nursery.start(self._transport.serve, settings.ready, self._answer_ready(proxy))
            await nursery.start(self._transport.serve, settings.boxes, self._answer_boxes(proxy))
            proxy.start()
            await self._until_told_to_stop()
            await proxy.stop()
            nursery.cancel_scope.cancel()

    async def _until_told_to_stop(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            await self._take_signals(signals)

    async def _take_signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            if number != signal.SIGHUP:
                return
            self._reload()

    def _reload(self) -> None:
        """Check the settings again; what they name is bound to the process's life."""
        try:
            changed = load_settings(self._path) != self._settings
        except WharfError as error:
            self._log.change("settings_unusable", why=str(error))
            return
        self._log.change("settings_reloaded", differ=changed)

    def _answer_ready(self, proxy: SessionProxy) -> Handler:
        async def handle(request: HttpRequest) -> HttpResponse:
            if request.path != READY_PATH:
                return HttpResponse(404, {"error": f"ask {READY_PATH}"})
            return HttpResponse(200 if proxy.is_ready else 503, {"ready": proxy.is_ready})

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_stream(stream, handle)

        return serve

    def _answer_boxes(self, proxy: SessionProxy) -> Handler:
        async def serve(stream: trio.abc.Stream) -> None:
            await serve_stream(stream, proxy.handle_box)

        return serve


def main() -> None:
    """Run the process."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
    try:
        settings = load_settings(path)
    except WharfError as error:
        print(error, file=sys.stderr)
        sys.exit(BAD_SETTINGS)
    os.set_blocking(sys.stdout.fileno(), False)
    trio.run(PlatformProcess(settings, path).run)


if __name__ == "__main__":
    main()
