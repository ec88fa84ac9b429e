"""Write a local deployment: free ports, settings files and start commands."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

import attrs

OPERATOR = "ops"
POOL = "tourdesk"
BUSINESSES = ("rila-tours", "pirin-walks", "vitosha-guides")
SECRET = "demo-secret-change-me"


@attrs.frozen
class Shape:
    """Size of a deployment."""

    groups: int = 3
    boxes: int = 3
    data_centres: int = 2
    service_ms: float = 1.0


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def write_layout(folder: Path, shape: Shape) -> dict[str, Any]:
    """Write ``layout.json``, one settings file per box and ``commands`` into ``folder``.

    Returns
    -------
    dict
        Content of ``layout.json``: addresses by process name.
    """
    folder.mkdir(parents=True, exist_ok=True)
    ports = iter(_free_ports(1 + shape.groups * 6 + shape.boxes * 3))

    def address() -> str:
        return f"127.0.0.1:{next(ports)}"

    layout: dict[str, Any] = {"platform": address(), "endpoints": {}, "boxes": {}, "groups": []}
    for number in range(1, shape.groups + 1):
        group = f"sofia-{number}"
        names = [f"{group}-{letter}" for letter in "abc"]
        layout["groups"].append({"name": group, "endpoints": names})
        for index, name in enumerate(names):
            layout["endpoints"][name] = {
                "address": address(),
                "control_address": address(),
                "data_centre": f"hall-{index % shape.data_centres + 1}",
            }
    for number in range(1, shape.boxes + 1):
        layout["boxes"][f"box-{number}"] = {
            "data_centre": f"hall-{(number - 1) % shape.data_centres + 1}",
            "proxy": address(),
            "steward": address(),
            "admin": address(),
        }
    (folder / "layout.json").write_text(json.dumps(layout, indent=2), encoding="utf-8")
    for name, box in layout["boxes"].items():
        text = _settings_text(name, box, layout)
        (folder / f"{name}.json").write_text(text, encoding="utf-8")
    (folder / "commands").write_text(_commands(folder, layout, shape), encoding="utf-8")
    return layout


def _settings_text(name: str, box: dict[str, str], layout: dict[str, Any]) -> str:
    peers = [
        other["steward"] for other_name, other in layout["boxes"].items() if other_name != name
    ]
    settings = {
        "box": {"name": name, "data_centre": box["data_centre"]},
        "platform": {"address": layout["platform"], "list_lag_s": 0.5},
        "keys": {"current": "k1", "secrets": {"k1": SECRET}},
        "proxy": {"listen": box["proxy"], "stop_unready_s": 0.5},
        "steward": {"listen": box["steward"], "peers": peers},
        "admin": {"listen": box["admin"], "operators": [OPERATOR, "second"]},
    }
    return f"// Settings of {name}, written for trying things.\n{json.dumps(settings, indent=2)}\n"


def _commands(folder: Path, layout: dict[str, Any], shape: Shape) -> str:
    lines = [f"platform python -m standins platform {layout['platform']}"]
    for name, endpoint in layout["endpoints"].items():
        lines.append(
            f"{name} python -m standins endpoint {name} {endpoint['address']} "
            f"{endpoint['control_address']} --service-ms {shape.service_ms}"
        )
    for name in layout["boxes"]:
        for daemon in ("steward", "admin", "proxy"):
            lines.append(f"{name}-{daemon} wharf-{daemon} --settings {folder / f'{name}.json'}")
    return "\n".join(lines) + "\n"
