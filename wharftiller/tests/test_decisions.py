"""The decision log is bounded, never blocks and writes whole lines."""

from __future__ import annotations

import json

import trio
import trio.testing

from wharftiller.decisions import BUFFER_LINES, CHUNK_BYTES, MAX_LINES_PER_KIND_PER_S, DecisionLog


class Output:
    """A standard output that can block."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.blocked = False

    def write(self, data: bytes) -> int:
        if self.blocked:
            raise BlockingIOError
        self.chunks.append(data)
        return len(data)


def run(scenario) -> Output:  # type: ignore[no-untyped-def]
    output = Output()

    async def main() -> None:
        await scenario(DecisionLog("proxy", "box-1", output.write), output)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return output


class TestLog:
    def test_lines_are_whole_in_every_write(self) -> None:
        async def scenario(log: DecisionLog, output: Output) -> None:
            for number in range(200):
                log.change("box_listed", other=f"box-{number}")
            log.flush()

        output = run(scenario)
        assert all(chunk.endswith(b"\n") and len(chunk) <= CHUNK_BYTES for chunk in output.chunks)
        lines = b"".join(output.chunks).splitlines()
        assert [json.loads(line)["other"] for line in lines] == [f"box-{n}" for n in range(200)]

    def test_a_blocked_output_drops_lines_without_waiting(self) -> None:
        async def scenario(log: DecisionLog, output: Output) -> None:
            output.blocked = True
            for _ in range(3):
                for number in range(BUFFER_LINES):
                    log.change("box_listed", other=str(number))
                log.flush()
            output.blocked = False
            log.flush()

        assert b"".join(run(scenario).chunks).count(b"\n") <= BUFFER_LINES

    def test_a_kind_is_written_up_to_its_rate_and_the_rest_counted(self) -> None:
        async def scenario(log: DecisionLog, output: Output) -> None:
            for _ in range(MAX_LINES_PER_KIND_PER_S + 30):
                log.event("no_status", endpoint="one")
            await trio.sleep(1.1)
            log.event("no_status", endpoint="one")
            log.flush()

        lines = [json.loads(line) for line in b"".join(run(scenario).chunks).splitlines()]
        assert sum(line["event"] == "no_status" for line in lines) == MAX_LINES_PER_KIND_PER_S + 1
        left_out = [line for line in lines if line["event"] == "lines_left_out"]
        assert left_out[0]["counts"] == {"no_status": 30}
