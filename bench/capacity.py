"""Slopes behind docs/CAPACITY.md: what each thing costs, and how it grows.

    python -m bench.capacity idle --sizes 5 10 20 40   # real daemons
    python -m bench.capacity memory                    # one process
    python -m bench.capacity configuration             # one process
    python -m bench.capacity signatures                # one process

`idle` starts daemons without callers and reads what control costs them from
their processor time, their memory and their metrics.
"""

import argparse
import asyncio
import gc
import math
import os
import pathlib
import re
import time
import tracemalloc

from bench import latency
from savorybend import configuration
from savorybend.internal import journal
from savorybend.internal import keys
from savorybend.internal import members
from savorybend.internal import signing
from savorybend.internal import snapshot
from savorybend.internal.ctl import tables
from savorybend.internal.wire import codec
from savorybend.internal.wire import membership as wire
from standins import site as sites
from tests import documents

_MB = 1_000_000
_SETTLE_S = 5.0
# Updates a second that a daemon repeats on its probes and replies.
_REPEATED_PER_S = 16.0
_COUNTERS = (
    "savorybend_peer_messages_total",
    "savorybend_platform_calls_total",
)
_PEER_BYTES = "savorybend_peer_bytes_total"

_SERVICES = 73
_ROUTES_PER_SERVICE = 3
_CLIENT_ACCOUNTS = 200
_MEMBERS = 1000
_JOURNAL_ENTRIES = 50_000
_EVENTS_PER_REQUEST = 4


def resident_bytes(pid: int) -> int:
    """Returns the memory that a process holds."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def _counters(site, name: str) -> dict[str, float]:
    url = f"http://{site.addresses[name].admin}/metrics"
    async with site.session.get(url) as answer:
        text = await answer.text()
    found = dict.fromkeys((*_COUNTERS, _PEER_BYTES), 0.0)
    for line in text.splitlines():
        match = re.match(r"(\w+)(?:\{[^}]*\})? (\S+)$", line)
        if match and match[1] in found:
            found[match[1]] += float(match[2])
    return found


async def _idle(size: int, seconds: float) -> dict:
    """Returns what control costs a daemon in a fleet of `size`."""
    async with sites.create_site() as site:
        workers = [
            sites.Worker(f"w-{n}", f"dc-{n % 2}", "back", 16, 1.0)
            for n in range(size)
        ]
        await site.add(workers, LOG_LEVEL="warning")
        document = documents.create_site().to_json().encode()
        await site.ctl("config", "submit", "-", stdin=document)
        await site.wait_ready()
        await asyncio.sleep(_settle_s(size))
        before = await _reading(site)
        await asyncio.sleep(seconds)
        after = await _reading(site)
        passed_s = after["time_s"] - before["time_s"]

        def rate(field: str) -> float:
            return (after[field] - before[field]) / passed_s / size

        return {
            "daemons": size,
            "cpu_percent_of_core": rate("cpu_s") * 100,
            "resident_mb": after["resident"] / size / _MB,
            "peer_messages_per_s": rate(_COUNTERS[0]),
            "peer_bytes_per_s": rate(_PEER_BYTES),
            "platform_calls_per_s": rate(_COUNTERS[1]),
        }


def _settle_s(size: int) -> float:
    """Returns how long a fleet that starts at once still tells of it."""
    # Probes repeat the start of each daemon about log2(size) times.
    return _SETTLE_S + size * math.log2(size + 1) / _REPEATED_PER_S


async def _reading(site) -> dict[str, float]:
    """Returns the sums over all daemons."""
    total: dict[str, float] = {"cpu_s": 0.0, "resident": 0.0}
    for name in site.workers:
        pid = site.pid(name)
        total["cpu_s"] += latency.cpu_seconds(pid)
        total["resident"] += resident_bytes(pid)
        for counter, value in (await _counters(site, name)).items():
            total[counter] = total.get(counter, 0.0) + value
    total["time_s"] = time.monotonic()
    return total


def _growth(build) -> tuple[float, float]:
    """Returns the bytes and the seconds that `build` takes.

    It runs twice, since counting allocations slows it.
    """
    started = time.process_time()
    build()
    seconds = time.process_time() - started
    gc.collect()
    tracemalloc.start()
    made = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return size, seconds


def _fill_journal() -> journal.Journal:
    made = journal.create_journal("ledger-1", _JOURNAL_ENTRIES)
    for number in range(_JOURNAL_ENTRIES):
        request_id = f"sapporo-a-ledger-1.19af3c2d1e0.{number:x}"
        for event in range(_EVENTS_PER_REQUEST):
            made.note(
                request_id,
                "dispatched",
                f"127.0.0.1:{7000 + event}",
                client_account="maruyama",
                route="adjustment",
            )
    return made


def _fill_directory() -> members.Directory:
    made = members.create_directory(_record(0))
    for number in range(1, _MEMBERS):
        made.put(_record(number))
    return made


def _record(number: int) -> members.Record:
    return members.Record(
        f"sapporo-a-ledger-{number}",
        1_700_000_000_000 + number,
        f"dc-{number % 6}",
        f"service-{number % _SERVICES}",
        f"10.0.{number // 250}.{number % 250}:7000",
        f"10.0.{number // 250}.{number % 250}:7001",
        f"10.0.{number // 250}.{number % 250}:7002",
        f"{number:040d}",
    )


def _memory() -> list[dict]:
    rows = []
    for name, build, count in (
        ("journal entry", _fill_journal, _JOURNAL_ENTRIES),
        ("member record", _fill_directory, _MEMBERS),
    ):
        size, seconds = _growth(build)
        rows.append(
            {
                "thing": name,
                "count": count,
                "bytes_each": size / count,
                "total_mb": size / _MB,
                "us_each": seconds / count * 1e6,
            }
        )
    return rows


def _target_document() -> bytes:
    site = configuration.create_site([f"dc-{n}" for n in range(6)])
    for number in range(_SERVICES):
        service = f"service-{number}"
        site.add_service(service)
        for route in range(_ROUTES_PER_SERVICE):
            site.add_route(
                f"{service}-{route}",
                path=f"/{service}/{route}",
                service=service,
            )
    for number in range(_CLIENT_ACCOUNTS):
        account = f"account-{number}"
        site.add_client_account(account, rate_per_s=100, burst=200)
        key = keys.create(f"{account}-1")
        site.add_key(account, key.key_id, **key.stored)
    return site.to_json().encode()


def _configuration() -> list[dict]:
    text = _target_document()
    size, seconds = _growth(lambda: snapshot.create_snapshot(1, text))
    return [
        {
            "services": _SERVICES,
            "routes": _SERVICES * _ROUTES_PER_SERVICE,
            "client_accounts": _CLIENT_ACCOUNTS,
            "document_kb": len(text) / 1000,
            "memory_kb": size / 1000,
            "put_in_force_ms": seconds * 1000,
        }
    ]


def _signatures() -> list[dict]:
    """Returns what signing adds to a record, and what it takes."""
    signer = signing.create_signer()
    plain = [_record(number) for number in range(_MEMBERS)]
    started = time.process_time()
    signed = [signer.sign(record) for record in plain]
    signed_s = time.process_time()
    genuine = all(signing.is_signed(record) for record in signed)
    verified_s = time.process_time()
    return [
        {
            "genuine": genuine,
            "bytes_unsigned": _told_bytes(plain),
            "bytes_signed": _told_bytes(signed),
            "us_to_sign": (signed_s - started) / _MEMBERS * 1e6,
            "us_to_verify": (verified_s - signed_s) / _MEMBERS * 1e6,
        }
    ]


def _told_bytes(records: list[members.Record]) -> float:
    updates = [wire.Update(record, "alive") for record in records]
    message = wire.Gossip(updates, wire.ConfigurationStatus(1, 0.0))
    return len(codec.encode(message)) / len(records)


def main() -> None:
    """Prints one table of slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "what", choices=("idle", "memory", "configuration", "signatures")
    )
    parser.add_argument("--sizes", type=int, nargs="+", default=[5, 10, 20])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    match options.what:
        case "idle":
            rows = [
                asyncio.run(_idle(size, options.seconds))
                for size in options.sizes
            ]
        case "memory":
            rows = _memory()
        case "signatures":
            rows = _signatures()
        case _:
            rows = _configuration()
    print(tables.render(rows, options.json))


if __name__ == "__main__":
    main()
