"""The command-line interface of `savorybendctl`: parser and dispatch."""

import argparse
import asyncio
import os
import sys

import aiohttp

import savorybend
from savorybend.internal import errors
from savorybend.internal import keys
from savorybend.internal import platform
from savorybend.internal import requestids
from savorybend.internal import sessions
from savorybend.internal import settings
from savorybend.internal.ctl import configuration
from savorybend.internal.ctl import exits
from savorybend.internal.ctl import fleet
from savorybend.internal.ctl import limits
from savorybend.internal.ctl import logs
from savorybend.internal.ctl import requests
from savorybend.internal.ctl import rollout
from savorybend.internal.ctl import tables

_PLATFORM = "SAVORYBEND_PLATFORM_URL"
_DAEMON = "SAVORYBEND_DAEMON"
_ADMIN_KEY = "SAVORYBEND_ADMIN_KEY"

# Configuration commands that query the daemons; the others use the platform.
_FLEET_ACTIONS = ("status", "wait")

_COLUMNS = {
    "daemons": ("name", "data_centre", "service", "state", "call_address"),
    "routes": (
        "name",
        "methods",
        "path",
        "service",
        "priority",
        "idempotent",
        "timeout_s",
    ),
}


def create_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="savorybendctl",
        description="Operates savorybend: configuration, daemons, requests.",
        epilog=f"The admin key is read from {_ADMIN_KEY}.",
    )
    parser.add_argument(
        "--version",
        action="version",
        version=f"savorybendctl {savorybend.__version__}",
    )
    parser.add_argument(
        "--platform-url",
        default=os.environ.get(_PLATFORM),
        help=f"the platform's object API [{_PLATFORM}]",
    )
    parser.add_argument(
        "--daemon",
        default=os.environ.get(_DAEMON),
        help=f"admin address of any daemon, IP:PORT [{_DAEMON}]",
    )
    topics = parser.add_subparsers(dest="topic", required=True)
    _add_configuration(topics)
    _add_fleet(topics)
    _add_requests(topics)
    _add_logs(topics)
    key = topics.add_parser("key", help="make keys")
    actions = key.add_subparsers(dest="action", required=True)
    create = actions.add_parser("create", help="make a key; shown once")
    create.add_argument("key_id", help="name of the key")
    return parser


def _add_configuration(topics) -> None:
    topic = topics.add_parser("config", help="the configuration")
    actions = topic.add_subparsers(dest="action", required=True)
    helps = {
        "check": "say whether a document is valid",
        "diff": "show what a document would change",
        "submit": "put a document in force",
    }
    for action, text in helps.items():
        parser = actions.add_parser(action, help=text)
        parser.add_argument("file", help="JSON document; - for standard input")
        if action == "submit":
            parser.add_argument(
                "--base",
                type=int,
                help="the version that you started from; it must still hold",
            )
    actions.add_parser("show", help="print the document on the platform")
    status = actions.add_parser("status", help="what each daemon has in force")
    _add_json(status)
    wait = actions.add_parser(
        "wait", help="wait until a version is in force at every daemon"
    )
    wait.add_argument("version", type=int)
    wait.add_argument(
        "--seconds", type=float, default=10.0, help="how long to wait"
    )


def _add_fleet(topics) -> None:
    helps = {"daemons": "the daemons", "routes": "the routes in force"}
    for topic, text in helps.items():
        parser = topics.add_parser(topic, help=text)
        _add_json(parser)
    limits_parser = topics.add_parser(
        "limits", help="how each client account stands"
    )
    _add_json(limits_parser)
    actions = limits_parser.add_subparsers(dest="action")
    reclaim = actions.add_parser(
        "reclaim", help="pass on what a VM owned that has ended for good"
    )
    reclaim.add_argument("data_centre", help="the VM's data centre")
    reclaim.add_argument("daemon_name", help="the name of its daemon")


def _add_requests(topics) -> None:
    topic = topics.add_parser("request", help="what became of requests")
    actions = topic.add_subparsers(dest="action", required=True)
    show = actions.add_parser("show", help="what became of one request")
    show.add_argument("request_id", type=_request_id)
    _add_json(show)
    listing = actions.add_parser("list", help="requests seen")
    listing.add_argument("--client-account", default="")
    listing.add_argument("--route", default="")
    listing.add_argument("--since", default="1h", help="15m, 2h or a time")
    listing.add_argument("--most", type=int, default=100)
    _add_json(listing)


def _add_logs(topics) -> None:
    topic = topics.add_parser(
        "logs", help="the logs of many VMs, from a folder of files"
    )
    actions = topic.add_subparsers(dest="action", required=True)
    merge = actions.add_parser("merge", help="all lines in order of time")
    merge.add_argument("folder", help="files that took standard output")
    merge.add_argument(
        "--without-requests",
        action="store_true",
        help="leave out lines about single requests",
    )
    show = actions.add_parser(
        "request", help="one request's lines, and what was believed then"
    )
    show.add_argument("request_id", help="as the caller sent it")
    show.add_argument("folder", help="files that took standard output")


def _request_id(text: str) -> str:
    if requestids.parse(text):
        return text
    raise argparse.ArgumentTypeError(
        f"{text!r} is no request ID: copy it from Savorybend-Request-Id"
    )


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON")


def run(arguments: list[str]) -> int:
    """Runs one command; returns its exit code, as defined in `exits`."""
    options = create_parser().parse_args(arguments)
    try:
        return asyncio.run(_run(options))
    except errors.InvalidConfigurationError as error:
        return _fail(error, exits.INVALID)
    except errors.InvalidSettingError as error:
        return _fail(error, exits.USAGE)
    except (
        errors.PlatformUnavailableError,
        errors.PeerUnreachableError,
    ) as error:
        return _fail(error, exits.UNREACHABLE)
    except (errors.SavorybendError, OSError, ValueError) as error:
        return _fail(error, exits.FAILED)


def _fail(error: Exception, code: int) -> int:
    print(f"savorybendctl: {error}", file=sys.stderr)
    return code


async def _run(options: argparse.Namespace) -> int:
    match (options.topic, getattr(options, "action", "")):
        case ("key", _):
            return _create_key(options.key_id)
        case ("logs", "merge"):
            logs.merge(options.folder, print, options.without_requests)
            return exits.OK
        case ("logs", _):
            found = logs.show_request(options.folder, options.request_id, print)
            return exits.OK if found else exits.FAILED
        case ("config", "check"):
            return configuration.check(configuration.read(options.file), print)
    async with sessions.create_session() as session:
        if options.topic == "config" and options.action not in _FLEET_ACTIONS:
            return await _run_configuration(options, session)
        return await _run_fleet(options, session)


async def _run_configuration(
    options: argparse.Namespace, session: aiohttp.ClientSession
) -> int:
    store = _store(options, session)
    if options.action == "show":
        return await configuration.show(store, print)
    text = configuration.read(options.file)
    if options.action == "diff":
        return await configuration.diff(store, text, print)
    return await configuration.submit(store, text, options.base, print)


def _store(
    options: argparse.Namespace, session: aiohttp.ClientSession
) -> platform.Platform:
    url = _parsed(
        settings.parse_url, options.platform_url, "--platform-url", _PLATFORM
    )
    return platform.create_platform(url, session)


async def _run_fleet(
    options: argparse.Namespace, session: aiohttp.ClientSession
) -> int:
    address = _parsed(
        settings.parse_address, options.daemon, "--daemon", _DAEMON
    )
    admin_key = os.environ.get(_ADMIN_KEY)
    if not admin_key:
        raise errors.InvalidSettingError(
            f"{_ADMIN_KEY} is missing: set it to the daemons' admin key"
        )
    source = fleet.Fleet(session, str(address), admin_key)
    match (options.topic, getattr(options, "action", "")):
        case ("config", "wait"):
            code, text = await rollout.wait(
                source, options.version, options.seconds
            )
            print(text)
            return code
        case ("config", _):
            text = await rollout.show(source, options.json)
        case ("request", "show"):
            text = await requests.show(source, options.request_id, options.json)
        case ("request", "list"):
            text = await requests.list_all(
                source, _query(options), options.json
            )
        case ("limits", "reclaim"):
            store = _store(options, session)
            centre, name = options.data_centre, options.daemon_name
            return await limits.reclaim(source, store, centre, name, print)
        case ("limits", _):
            text = await limits.show(source, options.json)
        case (topic, _):
            rows = await source.ask(topic)
            text = _table(topic, rows, options.json)
    print(text)
    return exits.OK


def _query(options: argparse.Namespace) -> dict[str, str]:
    return {
        "client_account": options.client_account,
        "route": options.route,
        "since_s": str(requests.parse_since_s(options.since)),
        "most": str(options.most),
    }


def _table(topic: str, rows: list[dict], as_json: bool) -> str:
    if as_json:
        return tables.render(rows, as_json=True)
    columns = _COLUMNS[topic]
    picked = [{column: row[column] for column in columns} for row in rows]
    return tables.render(picked, as_json=False)


def _create_key(key_id: str) -> int:
    created = keys.create(key_id)
    print(f"key   {created.text}")
    print(f"salt  {created.stored['salt']}")
    print(f"hash  {created.stored['hash']}")
    return exits.OK


def _parsed(parse, text: str | None, flag: str, variable: str):
    if not text:
        raise errors.InvalidSettingError(
            f"{flag} ({variable}) is missing: set one of them"
        )
    try:
        return parse(text)
    except ValueError as error:
        raise errors.InvalidSettingError(
            f"{flag} ({variable}): {text!r} is invalid: {error}"
        ) from error
