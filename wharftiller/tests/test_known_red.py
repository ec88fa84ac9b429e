"""KNOWN-RED.txt excuses the failures of exactly the tests that it names."""

from __future__ import annotations

import pytest

from wharftiller.tests.known_red import LIST_NAME, KnownRed, parse_entries

TESTS = """
import pytest

class TestSample:
    @pytest.mark.parametrize("seed", [1, 11])
    def test_fails(self, seed):
        assert seed == 0

    def test_holds(self):
        pass
"""


def entry(test: str) -> str:
    return f"# a comment\n{test} | pytest -k fails, seed 1 | it fails | 36\n"


@pytest.fixture
def suite(pytester: pytest.Pytester) -> pytest.Pytester:
    """Return a separate suite of the tests above."""
    pytester.makepyfile(test_sample=TESTS)
    pytester.makeini("[pytest]\ntestpaths = .\n")
    return pytester


def run(suite: pytest.Pytester, listed: str, *arguments: str) -> pytest.RunResult:
    (suite.path / LIST_NAME).write_text(listed)
    return suite.runpytest_inprocess("-p", "wharftiller.tests.known_red", *arguments)


class TestRuns:
    def test_just_the_named_test_may_fail(self, suite: pytest.Pytester) -> None:
        """Guards against matching by prefix: the name is a prefix of another test's."""
        result = run(suite, entry("test_sample.py::TestSample::test_fails[1]"))
        result.assert_outcomes(passed=1, failed=1, xfailed=1)
        result.stdout.fnmatch_lines(["*test_fails[[]1]: failed as listed (issue 36: it fails)"])

    def test_no_entry_stands_for_a_class(self, suite: pytest.Pytester) -> None:
        result = run(suite, entry("test_sample.py::TestSample"))
        assert result.ret == pytest.ExitCode.USAGE_ERROR
        result.stderr.fnmatch_lines(
            ["*names test_sample.py::TestSample, expected tests that exist*"]
        )

    def test_an_entry_whose_test_is_gone_ends_the_run(self, suite: pytest.Pytester) -> None:
        result = run(suite, entry("test_sample.py::TestSample::test_of_old"))
        assert result.ret == pytest.ExitCode.USAGE_ERROR

    def test_an_entry_that_passes_is_reported(self, suite: pytest.Pytester) -> None:
        result = run(suite, entry("test_sample.py::TestSample::test_holds"))
        result.assert_outcomes(xpassed=1, failed=2)
        result.stdout.fnmatch_lines(["*test_holds: PASSED: run it many times*"])

    def test_a_part_of_the_suite_runs_without_the_others(self, suite: pytest.Pytester) -> None:
        listed = entry("test_sample.py::TestSample::test_fails[1]")
        result = run(suite, listed, "test_sample.py::TestSample::test_holds")
        result.assert_outcomes(passed=1)


class TestEntries:
    def test_comments_and_empty_lines_are_ignored(self) -> None:
        assert parse_entries(f"\n{entry('a.py::test_b[3]')}") == [
            KnownRed("a.py::test_b[3]", "pytest -k fails, seed 1", "it fails", "36")
        ]

    @pytest.mark.parametrize("line", ["a.py::test_b", "a.py::test_b | seed 1 | it fails |"])
    def test_an_incomplete_entry_is_refused(self, line: str) -> None:
        with pytest.raises(pytest.UsageError, match="expected 'test"):
            parse_entries(line)
