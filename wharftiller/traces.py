"""Record the inputs and outputs of a proxy's core and replay them.

A trace is a text file of JSON lines: a header, then a line per input with its
time and outputs. The core has no clock and no I/O, so a replay of unchanged code
gives the same outputs, byte for byte.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TextIO

import attrs
import orjson

from wharftiller.core import messages
from wharftiller.core.errors import BadRequestError
from wharftiller.core.messages import AnswerCaller, Input, Output
from wharftiller.core.proxy import ProxyCore
from wharftiller.edges.codec import from_peer, to_json

INPUT_KINDS: dict[str, type[Any]] = {kind.__name__: kind for kind in messages.Input.__args__}


@attrs.frozen
class TraceHeader:
    """Parameters of the recorded core.

    Attributes
    ----------
    about : str
        Description of the trace.
    """

    box: str
    seed: int
    list_lag_s: float
    about: str = ""


@attrs.frozen
class TraceLine:
    """One input, its time in seconds, and the recorded outputs."""

    at: float
    message: Input
    outputs: list[Any]


class TraceRecorder:
    """Writes the steps of a running core to a trace."""

    def __init__(self, file: TextIO, header: TraceHeader) -> None:
        self._file = file
        self._write({"header": to_json(header)})

    def record(self, at: float, message: Input, outputs: list[Output], *, idle: bool) -> None:
        """Write one step, unless it is a tick of an ``idle`` core without outputs."""
        if idle and not outputs and isinstance(message, messages.Tick):
            return
        self._write(
            {
                "at": at,
                "kind": type(message).__name__,
                "input": to_json(message),
                "outputs": [describe_output(output) for output in outputs],
            }
        )

    def _write(self, value: Any) -> None:
        self._file.write(orjson.dumps(value).decode() + "\n")


def describe_output(output: Output) -> Any:
    """Return an output as a JSON value that includes its class name."""
    return {"kind": type(output).__name__, **to_json(output)}


def read_trace(path: Path) -> tuple[TraceHeader, list[TraceLine]]:
    """Return a trace's header and lines.

    Raises
    ------
    BadRequestError
        If the file is not a trace; the message names the line.
    """
    rows = path.read_text(encoding="utf-8").splitlines()
    lines = []
    header: TraceHeader | None = None
    for number, row in enumerate(rows, start=1):
        try:
            value = orjson.loads(row)
            if header is None:
                header = from_peer(value["header"], TraceHeader)
                continue
            message = from_peer(value["input"], INPUT_KINDS[value["kind"]])
            lines.append(TraceLine(value["at"], message, value["outputs"]))
        except Exception as error:
            raise BadRequestError(
                f"{path}:{number} is not a line of a trace: {error!r}. Record it with "
                "'wharf-proxy --record'"
            ) from None
    if header is None:
        raise BadRequestError(f"{path} is empty. Record a trace with 'wharf-proxy --record'")
    return header, lines


@attrs.frozen
class ReplayedStep:
    """One step of a replay.

    Attributes
    ----------
    is_same : bool
        Whether the outputs equal the recorded ones.
    """

    line: TraceLine
    outputs: list[Output]
    is_same: bool

    @property
    def answers(self) -> list[AnswerCaller]:
        """The answers to callers among the outputs."""
        return [output for output in self.outputs if isinstance(output, AnswerCaller)]


def replay(header: TraceHeader, lines: list[TraceLine]) -> Iterator[ReplayedStep]:
    """Feed a trace to a new core and compare the outputs with the recorded ones."""
    core = ProxyCore(header.box, random.Random(header.seed), header.list_lag_s)
    for line in lines:
        outputs = core.handle(line.message, line.at)
        described = orjson.loads(orjson.dumps([describe_output(output) for output in outputs]))
        yield ReplayedStep(line, outputs, described == line.outputs)
