"""The runner passes over known failures and no others."""

import pytest

from tests import run

_LINE = "tests/a.py::b | make test | 1 | it is red | 4"


def test_an_entry_is_read_with_its_five_fields():
    assert run.read_known_red(f"# why\n\n{_LINE}\n") == [
        run.Entry("tests/a.py::b", "make test", "1", "it is red", "4")
    ]


def test_a_malformed_entry_is_refused():
    with pytest.raises(ValueError, match="needs 5 fields"):
        run.read_known_red("tests/a.py::b")


@pytest.mark.parametrize(
    ("failed", "known", "code", "verdict"),
    [
        (set(), set(), 0, 0),
        ({"a"}, {"a"}, 1, 0),
        ({"a", "b"}, {"a"}, 1, 1),
        (set(), {"a"}, 0, 0),
        (set(), set(), 5, 5),
        (set(), set(), 3, 3),
    ],
)
def test_only_known_failures_are_passed_over(failed, known, code, verdict):
    assert run.judge(failed, known, code) == verdict
