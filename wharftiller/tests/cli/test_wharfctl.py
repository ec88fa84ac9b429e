"""The operators' command line, offline."""

from __future__ import annotations

from pathlib import Path

from typer.testing import CliRunner

from wharftiller.cli.wharfctl import app
from wharftiller.core.sessions.workspaces import digest_of_key, fingerprint
from wharftiller.tests.test_settings import BAD_VALUES, GOOD

runner = CliRunner()


class TestWharfctl:
    def test_check_reports_every_fault_with_its_line(self, tmp_path: Path) -> None:
        path = tmp_path / "box.json"
        path.write_text(BAD_VALUES)
        result = runner.invoke(app, ["check", str(path)])
        assert result.exit_code == 1
        assert f"{path}:3: " in result.output
        assert result.output.count("\n") == 6

    def test_check_of_good_settings(self, tmp_path: Path) -> None:
        path = tmp_path / "box.json"
        path.write_text(GOOD)
        assert runner.invoke(app, ["check", str(path)]).exit_code == 0

    def test_key_is_the_one_that_proxies_accept(self, tmp_path: Path) -> None:
        path = tmp_path / "box.json"
        path.write_text(GOOD)
        result = runner.invoke(app, ["key", "business", "p/rila", "--settings", str(path)])
        assert result.output.startswith("k1.")

    def test_a_keys_fingerprint_is_the_one_in_logs_and_not_the_key(self) -> None:
        key = "nirth5mgjy5rcpihhacr"
        result = runner.invoke(app, ["fingerprint"], input=f"{key}\n")
        assert result.output.strip() == fingerprint(digest_of_key(key))
        assert key not in result.output

    def test_no_key_has_no_fingerprint(self) -> None:
        assert runner.invoke(app, ["fingerprint"], input="\n").exit_code == 2

    def test_daemon_that_does_not_answer_has_its_own_exit_code(self) -> None:
        arguments = ["status", "--admin", "127.0.0.1:1", "--operator", "o", "--key", "k"]
        assert runner.invoke(app, arguments).exit_code == 3

    def test_intent_that_is_no_json_is_bad_usage(self) -> None:
        arguments = ["plan", "{kind", "--admin", "127.0.0.1:1", "--operator", "o", "--key", "k"]
        assert runner.invoke(app, arguments).exit_code == 2
