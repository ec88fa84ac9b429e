"""Replays of recorded traces give the recorded outputs."""

from __future__ import annotations

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion
from typer.testing import CliRunner

from wharftiller.cli.wharfctl import app
from wharftiller.core.errors import BadRequestError
from wharftiller.traces import read_trace, replay

TRACES = sorted((Path(__file__).parent / "traces").glob("*.trace.jsonl"))


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.name)
class TestRecordedTraces:
    def test_replay_gives_the_same_outputs(self, path: Path) -> None:
        for number, step in enumerate(replay(*read_trace(path)), start=2):
            assert step.is_same, f"{path.name}:{number} {step.line.message} gave {step.outputs}"

    def test_answers_are_those_stated(self, path: Path, snapshot: SnapshotAssertion) -> None:
        answers = [
            (
                given.answer.request_id,
                given.answer.outcome.value,
                given.answer.reason.kind.value,
                [step.kind.value for step in given.answer.steps],
            )
            for step in replay(*read_trace(path))
            for given in step.answers
        ]
        assert answers == snapshot


class TestReadTrace:
    def test_damaged_line_is_named(self, tmp_path: Path) -> None:
        path = tmp_path / "t.jsonl"
        path.write_text(TRACES[0].read_text()[:2_000])
        with pytest.raises(BadRequestError, match="is not a line of a trace"):
            read_trace(path)

    def test_replay_command_prints_the_steps(self) -> None:
        result = CliRunner().invoke(app, ["replay", str(TRACES[0])])
        assert result.exit_code == 0
        assert "0 differ" in result.output
