"""JSON is split at its outermost commas, whatever is within its parts."""

import json
import string

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from savorybend.platform import jsonparts

_TEXTS = strategies.text('ab"\\[]{},: \n\u00e9')
_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | _TEXTS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(_TEXTS, inner, max_size=4)
    ),
    max_leaves=20,
)
_INDENTS = strategies.sampled_from([None, 0, 2])
_OPENINGS = strategies.sampled_from(
    [("[", "]"), ('{"a":', "}"), ('["]",', "]"), ('{"{":1,"b":', ',"c":[]}')]
)


@hypothesis.given(
    values=strategies.lists(_VALUES),
    indent=_INDENTS,
    ascii_only=strategies.booleans(),
)
def test_the_elements_of_an_array_are_its_values(values, indent, ascii_only):
    text = json.dumps(values, indent=indent, ensure_ascii=ascii_only)
    found = jsonparts.elements(f" {text}\n".encode())
    assert [json.loads(one) for one in found] == values


@hypothesis.given(
    values=strategies.dictionaries(_TEXTS, _VALUES), indent=_INDENTS
)
def test_the_members_of_an_object_are_its_values(values, indent):
    text = json.dumps(values, indent=indent, ensure_ascii=False)
    found = jsonparts.members(text.encode())
    assert {name: json.loads(one) for name, one in found.items()} == values


@hypothesis.given(
    openings=strategies.lists(_OPENINGS, min_size=1, max_size=8),
    times=strategies.integers(1, 3000),
)
def test_a_value_of_any_depth_ends_where_it_ends(openings, times):
    begins = "".join(one for one, _ in openings) * times
    ends = "".join(one for _, one in reversed(openings)) * times
    deep = f"{begins}1{ends}".encode()
    assert jsonparts.elements(b"[1,%s,2]" % deep) == [b"1", deep, b"2"]
    for cut in (1, len(deep) // 2, len(deep) - 1):
        with pytest.raises(ValueError):
            jsonparts.elements(b"[1,%s" % deep[:cut])


@hypothesis.given(
    text=strategies.binary()
    | strategies.text('[]{}",:\\' + string.digits).map(str.encode)
)
def test_any_bytes_are_split_or_refused(text):
    for split in (jsonparts.elements, jsonparts.members):
        try:
            split(text)
        except ValueError:
            continue


def test_a_member_whose_name_is_no_text_is_left_out():
    found = jsonparts.members(b'{"\\ud800":1,"\xff":2,"a":3,"a":4}')
    assert found == {"a": b"4"}
    assert msgspec.json.decode(found["a"]) == 4


class _CountingPattern:
    """A pattern that counts the bytes it matched."""

    def __init__(self, pattern):
        self._pattern = pattern
        self.matched_bytes = 0

    def match(self, text, *bounds):
        found = self._pattern.match(text, *bounds)
        if found is not None:
            self.matched_bytes += len(found[0])
        return found


@pytest.mark.parametrize("count", [50, 500])
def test_many_deep_values_take_time_in_proportion_to_their_size(
    count, monkeypatch
):
    # Each was looked through up to the end of the whole text.
    pattern = _CountingPattern(jsonparts._STRETCH)
    monkeypatch.setattr(jsonparts, "_STRETCH", pattern)
    deep = b"[" * 300 + b"1" + b"]" * 300
    text = b"[%s]" % b",".join([deep] * count)
    assert jsonparts.elements(text) == [deep] * count
    assert pattern.matched_bytes < 10 * len(text)
