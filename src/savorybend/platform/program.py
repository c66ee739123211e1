"""The daemon's main program on the platform; see `savorybend_platform.py`."""

import asyncio
import os
import sys

from savorybend.internal import errors
from savorybend.platform import announcements
from savorybend.platform import configuration
from savorybend.platform import headers
from savorybend.platform import names
from savorybend.platform import objects
from savorybend.platform import settings
from savorybend.relay import assembly
from savorybend.relay import bytebudget
from savorybend.relay import logs
from savorybend.relay import traffic

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def main() -> int:
    """Runs a daemon until SIGTERM; returns the exit code."""
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    try:
        found = settings.load(path)
    except errors.InvalidSettingError as error:
        print(f"savorybendd: {error}", file=sys.stderr)
        return EXIT_USAGE
    sink = logs.configure(found.name)
    counts = traffic.create_traffic()
    budget = bytebudget.create_budget(found.max_memory_bytes)
    adapter = assembly.Adapter(
        ingress=headers.Ingress(found.service),
        backend=headers.Backend(),
        decode_configuration=configuration.decode,
        store=objects.create_client(found.store_address, counts, budget),
        announcements=announcements.create_announcements,
        reload=lambda: settings.load(path),
        traffic=counts,
        budget=budget,
    )
    try:
        asyncio.run(assembly.run(found, adapter, sink))
    except OSError as error:
        print(
            f"savorybendd: {error}: free the address or give another",
            file=sys.stderr,
        )
        return EXIT_FAILED
    return EXIT_OK
