"""Untrusted input is parsed, or refused with a typed error."""

import hypothesis
import msgspec
from hypothesis import strategies

from savorybend.internal import errors
from savorybend.internal import headers
from savorybend.internal import requestids
from savorybend.internal.wire import calls
from savorybend.internal.wire import codec
from savorybend.internal.wire import links

_HEAD = calls.CallHead(
    "one.1.1", "a", "r", "s", 1, True, "GET", "/", [("a", "b")], 1.0, 1, 0
)
_ANSWER = calls.AnswerHead(200, [], "ran", "", 0.0, "one", 0, False, 0.0)
_MESSAGES = (
    calls.CallStart(1, _HEAD, b"data", True),
    calls.CallChunk(1, b"data", False),
    calls.CallCredit(1, 1),
    calls.AnswerStart(1, _ANSWER, b"data", True),
    calls.AnswerChunk(1, b"", True, 4, b"digest", False),
    links.Receipt(1, True),
    links.Sync(1, 2),
)
_ENCODED = tuple(
    codec.encode(message)
    for message in (
        *_MESSAGES,
        *(links.Numbered(1, 2, message) for message in _MESSAGES[:5]),
    )
)
_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text()
    | strategies.binary()
    | strategies.sampled_from(["link.numbered", "call", "answer", "more"]),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


def _decode(data):
    try:
        codec.decode(data)
    except errors.InvalidMessageError as error:
        assert "run one version" in str(error)


@hypothesis.given(strategies.binary(max_size=2000))
def test_any_bytes_are_decoded_or_refused(data):
    _decode(data)


@hypothesis.given(_VALUES)
def test_any_value_is_decoded_or_refused(value):
    _decode(msgspec.msgpack.encode(value))


@hypothesis.given(strategies.data())
def test_a_damaged_message_is_decoded_or_refused(data):
    message = bytearray(data.draw(strategies.sampled_from(_ENCODED)))
    for _ in range(data.draw(strategies.integers(1, 4))):
        at = data.draw(strategies.integers(0, len(message) - 1))
        message[at] = data.draw(strategies.integers(0, 255))
    cut = data.draw(strategies.integers(0, len(message)))
    _decode(bytes(message))
    _decode(bytes(message[:cut]))


@hypothesis.given(strategies.sampled_from(_ENCODED))
def test_a_message_survives_the_codec(data):
    assert codec.encode(codec.decode(data)) == data


@hypothesis.given(strategies.text() | strategies.floats().map(str))
def test_a_timeout_is_in_bounds_or_refused(text):
    try:
        timeout_s = headers.parse_timeout_s(text)
    except errors.InvalidHeaderError as error:
        assert headers.TIMEOUT in str(error)
    else:
        assert 0 < timeout_s <= headers.MAX_TIMEOUT_S


@hypothesis.given(strategies.text())
def test_a_key_is_what_follows_the_word_bearer(text):
    assert headers.parse_bearer(f"bEaReR {text}") == text.strip()
    if not text.lower().startswith("bearer "):
        assert headers.parse_bearer(text) == ""


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["Authorization", "AUTHORIZATION", "Savorybend-Handle", "X-A"]
            ),
            strategies.text(),
        )
    )
)
def test_no_key_or_handle_is_passed_on(pairs):
    assert {name for name, _ in headers.select_forwarded(pairs)} <= {"X-A"}


@hypothesis.given(
    strategies.text()
    | strategies.from_regex(r"[a-z0-9.\-/]{0,420}", fullmatch=True)
)
def test_a_request_id_is_parsed_or_malformed(text):
    parsed = requestids.parse(text)
    if parsed:
        assert requestids.parse(str(parsed)) == parsed
