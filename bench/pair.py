"""A site of two daemons on the path of a call, for benchmarks."""

import contextlib
import typing

from standins import site as sites
from tests import documents

# The backend server's own time is as short as it can be, so that the added
# time stands out.
_WORKERS = (
    sites.Worker("back-1", "east", "back", 64, 0.0),
    sites.Worker("front-1", "east", "front", 64, 0.0),
)

KEY = {"Authorization": f"Bearer {documents.MARUYAMA.text}"}
DIRECT = {"Savorybend-Request-Id": "bench"}


class Way(typing.NamedTuple):
    """A way that a call takes."""

    name: str
    url: str
    headers: dict[str, str]


@contextlib.asynccontextmanager
async def create_site():
    """Yields a site whose daemons are ready for calls."""
    async with sites.create_site() as site:
        await site.add(_WORKERS, LOG_LEVEL="warning")
        document = documents.create_site().to_json().encode()
        code, output = await site.ctl("config", "submit", "-", stdin=document)
        if code:
            raise SystemExit(output)
        await site.wait_ready()
        yield site


def ways(site: sites.Site) -> list[Way]:
    """Returns the ways to the backend server, the direct one first."""
    back, front = site.addresses["back-1"], site.addresses["front-1"]
    return [
        Way("direct", f"http://{back.backend}/back", DIRECT),
        Way("one daemon", f"http://{back.call}/back", KEY),
        Way("two daemons", f"http://{front.call}/back", KEY),
    ]
