"""Run a stand-in: ``python -m standins platform`` or ``python -m standins endpoint``."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import trio
import typer

from standins.endpoint import Endpoint, EndpointOptions, serve_endpoint
from standins.layout import Shape, write_layout
from standins.platform import Platform, serve_platform
from wharftiller.edges.transport import TcpTransport

app = typer.Typer(no_args_is_help=True, help="Stand-ins for tests, the demo and measurements.")


@app.command()
def platform(listen: str, list_lag_s: float = 0.5) -> None:
    """Run the stand-in of the platform."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            state = Platform(list_lag_s=list_lag_s)
            await nursery.start(serve_platform, state, TcpTransport(), listen)

    trio.run(main)


@app.command()
def endpoint(
    name: str,
    listen: str,
    control: str,
    max_connections: int = 25,
    service_ms: float = 1.0,
    lag_ms: float = 5.0,
    connect_ms: float = 12.0,
) -> None:
    """Run the stand-in of one database server."""
    options = EndpointOptions(
        max_connections=max_connections,
        service_ms=service_ms,
        lag_ms=lag_ms,
        connect_ms=connect_ms,
    )

    async def main() -> None:
        server = Endpoint(name, TcpTransport(), options)
        await serve_endpoint(server, TcpTransport(), listen, control)

    trio.run(main)


@app.command()
def layout(
    folder: Path,
    groups: Annotated[int, typer.Option(help="Database groups of three endpoints.")] = 3,
    boxes: Annotated[int, typer.Option(help="Boxes, over two data centres.")] = 3,
    data_centres: int = 2,
    service_ms: float = 1.0,
) -> None:
    """Pick free ports; write settings files and the commands that start everything."""
    write_layout(folder, Shape(groups, boxes, data_centres, service_ms))


if __name__ == "__main__":
    app()
