"""Splits JSON into the parts of its outermost array or object.

A decoder takes a text as a whole: one value that it refuses (nested too deep,
a number out of range, bytes that aren't text) costs all others. Here the inner
parts aren't decoded, and depth costs no stack.
"""

import re

import msgspec

_SPACE = b" \t\r\n"
_TEXT = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# What precedes the next bracket or comma, and that one.
_OUTER = re.compile(
    rb'(?:[^"\[\]{},]++|' + _TEXT + rb")*+([\[\]{},])", re.DOTALL
)
# Texts, brackets of one direction, and the quotation mark of an endless text.
_INNER = re.compile(_TEXT + rb'|([\[{]++)|([\]}]++)|(")', re.DOTALL)
# A stretch that ends between tokens.
_STRETCH = re.compile(rb'(?:[^"]++|' + _TEXT + rb"){1,4096}+", re.DOTALL)
_WHOLE_TEXT = re.compile(_TEXT, re.DOTALL)
# Bounds the work on a stretch that turns out to close a value.
_STRETCH_BYTES = 4096
# Deeper values are passed over by stretches, which is several times faster.
_DEEP = 256
_NAME = re.compile(
    rb"[ \t\r\n]*(" + _TEXT + rb")[ \t\r\n]*:[ \t\r\n]*", re.DOTALL
)


def elements(text: bytes) -> list[bytes]:
    """Returns the elements of an array, as JSON.

    Raises:
        ValueError: The text isn't an array, or has no end.
    """
    return _split(text, b"[]")


def members(text: bytes) -> dict[str, bytes]:
    """Returns the values of an object by name, as JSON; the last of a name.

    A name that can't be decoded is left out with its value.

    Raises:
        ValueError: The text isn't an object, or has no end.
    """
    found = {}
    for part in _split(text, b"{}"):
        name = _NAME.match(part)
        if name is None:
            raise ValueError("object has a member without a name")
        try:
            key = msgspec.json.decode(name[1], type=str)
        except msgspec.MsgspecError:
            continue
        found[key] = part[name.end() :]
    return found


def _split(text: bytes, brackets: bytes) -> list[bytes]:
    text = text.strip(_SPACE)
    if text[:1] != brackets[:1]:
        raise ValueError(f"{text[:1]!r} begins no {brackets.decode()}")
    parts = []
    start = at = 1
    while True:
        found = _OUTER.match(text, at)
        if found is None:
            raise ValueError("text ends within a value")
        at = found.end()
        match found[1]:
            case b",":
                parts.append(text[start : at - 1].strip(_SPACE))
                start = at
            case b"[" | b"{":
                at = _end(text, at)
            case _:
                break
    if at != len(text) or text[-1:] != brackets[1:]:
        raise ValueError(f"text goes on after its {brackets.decode()}")
    last = text[start : at - 1].strip(_SPACE)
    return [*parts, last] if parts or last else []


def _end(text: bytes, at: int) -> int:
    """Returns the position after the bracket that closes one before `at`."""
    depth = 1
    checked = at
    while True:
        for found in _INNER.finditer(text, at):
            match found.lastindex:
                case 1:
                    depth += found.end() - found.start()
                case 2:
                    run = found.end() - found.start()
                    if run >= depth:
                        return found.start() + depth
                    depth -= run
                case 3:
                    raise ValueError("text ends within a value")
            at = found.end()
            if depth > _DEEP and at >= checked:
                break
        else:
            raise ValueError("text ends within a value")
        at, depth, checked = _pass_over(text, at, depth)


def _pass_over(text: bytes, at: int, depth: int) -> tuple[int, int, int]:
    """Skips stretches that can't close as many brackets as are open.

    Returns:
        Where the next one begins, how many brackets are open there, and where
        it ends.
    """
    checked = at
    while stretch := _STRETCH.match(text, at, at + _STRETCH_BYTES):
        bare = _WHOLE_TEXT.sub(b"", stretch[0])
        closed = bare.count(b"]") + bare.count(b"}")
        checked = stretch.end()
        if closed >= depth:
            break
        depth += bare.count(b"[") + bare.count(b"{") - closed
        at = checked
    return at, depth, checked
