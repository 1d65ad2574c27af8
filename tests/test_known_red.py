"""Tests of the list of known failures in KNOWN-RED.txt, which `conftest.py` enforces.

Only listed tests may fail, each is printed, and a listed test that passes fails the run: otherwise a stale
entry could hide a new failure.
"""

from __future__ import annotations

from pathlib import Path

import pytest

TESTS = """
import pytest
def test_right(): pass
def test_wrong(): assert False
@pytest.mark.parametrize("number", [1, 2])
def test_both(number): assert False
"""


def run_with_list(pytester: pytest.Pytester, *lines: str) -> pytest.RunResult:
    pytester.makeconftest(Path(__file__).with_name("conftest.py").read_text())
    pytester.makepyfile(test_some=TESTS)
    (pytester.path / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    return pytester.runpytest_subprocess("-p", "no:cacheprovider")


WRONG = "test_some.py::test_wrong | it is false | issue 1"
BOTH = "test_some.py::test_both | it is false as well | issue 2"


def test_listed_tests_may_fail_and_are_printed(pytester: pytest.Pytester) -> None:
    result = run_with_list(pytester, WRONG, BOTH)
    result.assert_outcomes(passed=1, xfailed=3)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["known red: test_some.py::test_wrong: it is false (issue 1)"])


def test_a_failing_test_that_is_not_listed_fails_the_run(pytester: pytest.Pytester) -> None:
    result = run_with_list(pytester, WRONG)
    result.assert_outcomes(passed=1, xfailed=1, failed=2)
    assert result.ret == 1


def test_a_listed_test_that_passes_has_to_leave_the_list(pytester: pytest.Pytester) -> None:
    result = run_with_list(pytester, WRONG, BOTH, "test_some.py::test_right | nothing | issue 3")
    result.assert_outcomes(xfailed=3, failed=1)
    assert result.ret == 1


def test_the_list_may_have_any_number_of_entries(pytester: pytest.Pytester) -> None:
    numbers = range(5)
    pytester.makepyfile(test_more="".join(f"def test_{n}(): assert False\n" for n in numbers))
    more = [f"test_more.py::test_{n} | it is false | issue 4" for n in numbers]
    result = run_with_list(pytester, WRONG, BOTH, *more)
    result.assert_outcomes(passed=1, xfailed=8)
    assert result.ret == 0


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["test_some.py::test_none | cause | issue"], "no such test: test_some.py::test_none"),
        (["test_gone.py::test_wrong | cause | issue"], "no such test: test_gone.py::test_wrong"),
        ([WRONG, WRONG], "KNOWN-RED.txt:2: listed twice: test_some.py::test_wrong"),
        (["test_some.py::test_wrong"], "KNOWN-RED.txt:1: not 'file::test | cause | issue'"),
    ],
)
def test_an_invalid_list_fails_the_run(pytester: pytest.Pytester, lines: list[str], message: str) -> None:
    result = run_with_list(pytester, *lines)
    assert result.ret not in (0, 1)
    assert message in result.stdout.str() + result.stderr.str()
