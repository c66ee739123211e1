"""Entries that another writer may leave among the daemons' records."""

import copy
import json

import msgspec
from hypothesis import strategies

from savorybend.relay import presence
from tests.relay import samples

NAME = "odd"

_DEPTH = 100_000
DEEP = {
    "arrays": b"[" * _DEPTH + b"]" * _DEPTH,
    "objects": b'{"a":' * _DEPTH + b"1" + b"}" * _DEPTH,
    "brackets in text": b'[{"]}\\"[":' * _DEPTH + b"1" + b"}]" * _DEPTH,
}
# None of them is a port, nor any other number of a record.
NUMBERS = {
    "30 digits": b"1" * 30,
    "400 digits": b"1" * 400,
    "5000 digits": b"1" * 5000,
    "beyond floats": b"1e999",
    "negative": b"-1",
    "2**63": b"%d" % 2**63,
    "2**64": b"%d" % 2**64,
    "fraction": b"1.5",
    "not a number": b"NaN",
    "infinity": b"Infinity",
    "text": b'"7000"',
    "true": b"true",
    "null": b"null",
}
_HOSTS = {
    "empty": b'""',
    "NUL": b'"127.0.0.1\\u0000"',
    "not ASCII": '"hôst"'.encode(),
    "300 characters": b'"%s"' % (b"a" * 300),
    "lone surrogate": b'"\\ud800"',
    "not UTF-8": b'"\xff"',
    "space": b'"127.0.0.1 "',
    "line end": b'"127.0.0.1\\n"',
    "number": b"1",
}
_DURATIONS = [b'"nans"', b'"infms"', b'"-1ms"', b'"1e999s"', b'"1_0s"', b'"s"']
_MARK = "odd-value-here"
_PORTS = {"0": b"0", "65536": b"65536", "70000": b"70000"}
_NUMBERS_OF_STATEMENTS = ["port", "boot", "serial", "slots", "born_ms"]
_NUMBERS_OF_RECORDS = ["born_ms", "sequence"]


def _joined(fields):
    return b"{%s}" % b",".join(
        b"%s:%s" % (msgspec.json.encode(name), value)
        for name, value in fields.items()
    )


def _fields(struct):
    return {
        name: msgspec.json.encode(getattr(struct, name))
        for name in struct.__struct_fields__
    }


def record(statement=None, **changes):
    """Returns a record as JSON, with fields replaced by JSON.

    Args:
        statement: Fields of its statement to replace; None to leave out.
        **changes: Fields of the record to replace; None to leave out.
    """
    good = presence.Record(samples.statement(NAME), "ready", 5, 1)
    stated = {**_fields(good.statement), **(statement or {})}
    stated = {name: text for name, text in stated.items() if text is not None}
    fields = {**_fields(good), "statement": _joined(stated), **changes}
    return _joined(
        {name: text for name, text in fields.items() if text is not None}
    )


def records():
    """Returns records that name no daemon to use, by what is odd."""
    found = {"nothing": b"null", "array": b"[]", "text": b'"ready"'}
    for of, text in DEEP.items():
        found[f"deep {of}"] = text
        found[f"deep {of} in another field"] = record(other=text)
        found[f"deep {of} in the statement"] = record({"other": text})
        found[f"deep {of} as port"] = record({"port": text})
    for of, text in NUMBERS.items():
        for name in _NUMBERS_OF_STATEMENTS:
            found[f"{name} of {of}"] = record({name: text})
        for name in _NUMBERS_OF_RECORDS:
            found[f"{name} of {of} in the record"] = record(**{name: text})
    for of, text in _PORTS.items():
        found[f"port {of}"] = record({"port": text})
    for of, text in _HOSTS.items():
        found[f"host {of}"] = record({"host": text})
    for name in ("daemon", "host", "port", "boot", "serial", "state", "slots"):
        found[f"{name} missing"] = record({name: None})
    found["statement missing"] = (
        b'{"server_state":"ready","born_ms":5,"sequence":1}'
    )
    found["daemon empty"] = record({"daemon": b'""'})
    found["suspect of many crashes"] = record(
        suspects=b'[[21,"",%s]]' % (b"1" * 400)
    )
    return found


def stored(spec, name=b'"odd"', revision=b"REVISION", more=b"", top=b""):
    """Returns an object as the store sends it, from JSON."""
    return b'{"metadata":{"name":%s,"revision":%s%s},"spec":%s%s}' % (
        name,
        revision,
        more,
        spec,
        top,
    )


def with_odd_specs():
    """Returns objects that are odd only in what their writer wrote."""
    return {of: stored(spec) for of, spec in records().items()}


def without_a_revision():
    """Returns objects that have a name but can't be kept."""
    good = record()
    found = {"no revision": b'{"metadata":{"name":"odd"},"spec":1}'}
    for of, text in {**NUMBERS, **DEEP}.items():
        found[f"revision of {of}"] = stored(good, revision=text)
    return found


def without_a_name():
    """Returns objects that have no name, which the store never sends."""
    good = record()
    found = {
        "null": b"null",
        "array": b"[]",
        "number": b"1" * 400,
        "no metadata": b'{"spec":%s}' % good,
        "no name": b'{"metadata":{"revision":REVISION},"spec":1}',
        "metadata of text": b'{"metadata":"odd","spec":1}',
    }
    for of, text in DEEP.items():
        found[f"deep {of}"] = text
        found[f"deep {of} as metadata"] = b'{"metadata":%s}' % text
    for of, text in {
        **DEEP,
        "empty": b'""',
        "null": b"null",
        "number": b"1" * 400,
        "lone surrogate": b'"\\ud800"',
        "not UTF-8": b'"odd\xff"',
    }.items():
        found[f"name {of}"] = stored(good, name=text)
    return found


def with_odd_rest():
    """Returns objects of which only what nobody reads is odd."""
    found = {}
    for of, text in {**DEEP, **NUMBERS}.items():
        found[f"{of} in metadata"] = stored(
            record(), more=b',"finalizers":%s' % text
        )
        found[f"{of} beside"] = stored(record(), top=b',"other":%s' % text)
    return found


def one_of_each_kind():
    """Returns objects of all kinds that name no daemon, without repetitions.

    Returns:
        Objects by name.
    """
    odd = {**without_a_name(), **without_a_revision(), **with_odd_specs()}
    found = {}
    for of, raw in odd.items():
        if "objects" in of or "brackets" in of:
            continue
        name = f"odd-{len(found)}"
        found[name] = raw.replace(b'"odd"', b'"%s"' % name.encode())
    return found


def values():
    """Returns a strategy of JSON that is odd in place of any value."""
    depths = strategies.integers(1, 3_000)
    return strategies.one_of(
        strategies.sampled_from([*NUMBERS.values(), *_HOSTS.values()]),
        strategies.sampled_from(_DURATIONS),
        strategies.integers().map(lambda one: b"%d" % one),
        strategies.integers(1, 6_000).map(lambda one: b"1" * one),
        strategies.text(max_size=5).map(_encode_any),
        depths.map(lambda depth: b"[" * depth + b"]" * depth),
        depths.map(lambda depth: b'{"a":' * depth + b"1" + b"}" * depth),
        strategies.binary(max_size=5),
    )


def documents(good):
    """Returns a strategy of JSON documents with one odd value.

    Args:
        good: A valid document, of dictionaries, lists and leaves.
    """
    return strategies.tuples(
        strategies.sampled_from(list(_places(good))), values()
    ).map(lambda found: _replaced(good, *found))


def _encode_any(text):
    return json.dumps(text).encode()


def _places(good, path=()):
    yield path
    items = ()
    if isinstance(good, dict):
        items = good.items()
    elif isinstance(good, list):
        items = enumerate(good)
    for key, value in items:
        yield from _places(value, (*path, key))


def _replaced(good, path, odd):
    if not path:
        return odd
    changed = copy.deepcopy(good)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = _MARK
    return json.dumps(changed).encode().replace(b'"%s"' % _MARK.encode(), odd)
