"""Runs a daemon whose connections to other daemons a test can cut.

A cut is silent: connections stay open, what arrives on them is held until the
cut is over, and attempts to connect don't end. Run as a script, with the file
that names the daemons beyond the cut, and the program to run.
"""

import asyncio
import json
import pathlib
import runpy
import sys

_CHECK_INTERVAL_S = 0.02


class Cut:
    """The cut of one daemon from others, as its test sets it.

    Attributes:
        path: The file that names the others, by `name` and `host`.
    """

    def __init__(self, path):
        self.path = pathlib.Path(path)

    def set(self, machines):
        """Cuts the daemon off from machines; from none ends the cut."""
        found = {machine.name: machine.host for machine in machines}
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(found))
        new.replace(self.path)

    def has_name(self, name):
        """Returns whether a daemon is beyond the cut."""
        return name in self._read()

    def has_host(self, host):
        """Returns whether a daemon's host is beyond the cut."""
        return host in self._read().values()

    def _read(self):
        if not self.path.exists():
            return {}
        return json.loads(self.path.read_text())


def command(folder):
    """Returns what `fleets.running` takes to start daemons that can be cut."""
    return lambda name: [
        sys.executable,
        __file__,
        str(folder / f"{name}.cut"),
    ]


def cut_of(machine):
    """Returns the cut of a machine that was started with `command`."""
    return Cut(machine.folder / f"{machine.name}.cut")


def _install(cut):
    from savorybend.relay import streams

    connect = asyncio.BaseEventLoop.create_connection
    receive = streams.Stream.data_received

    async def create_connection(loop, factory, host, port, **more):
        while cut.has_host(host):
            await asyncio.sleep(_CHECK_INTERVAL_S)
        return await connect(loop, factory, host, port, **more)

    def data_received(stream, data):
        held = stream.__dict__.setdefault("held", [])
        held.append(data)
        if len(held) == 1:
            release(stream)

    def release(stream):
        if cut.has_name(stream.peer):
            loop = asyncio.get_running_loop()
            loop.call_later(_CHECK_INTERVAL_S, release, stream)
            return
        held, stream.held = stream.held, []
        if not stream.closed:
            receive(stream, b"".join(held))

    asyncio.BaseEventLoop.create_connection = create_connection
    streams.Stream.data_received = data_received


def main():
    """Installs the cut and runs the program."""
    _, path, program = sys.argv
    sys.argv = [program]
    sys.path.insert(0, str(pathlib.Path(program).parent))
    _install(Cut(path))
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
