"""Several limiters in one process, with fake interfaces and a manual clock."""

import asyncio
import heapq
import itertools
import random

from savorybend import configuration
from savorybend.internal import errors
from savorybend.internal import limits
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import platform
from savorybend.internal import snapshot
from savorybend.internal import timers
from savorybend.internal.wire import codec
from tests import fakes

ACCOUNT = "maruyama"
_STEP_S = 0.01
_SYNC_INTERVAL_S = 1.0
_DISJOINT_CHECK_STEPS = 5
_LATENCY_S = {True: 0.001, False: 0.003}


class Store:
    """A fake platform that can be down or lose replies."""

    def __init__(self):
        self._objects = {}
        self._versions = itertools.count(1)
        self.mode = "up"
        self.writes = 0

    async def get(self, kind, name):
        self._check()
        return self._objects.get((kind, name), platform.NO_OBJECT)

    async def put(self, kind, name, value, expected):
        self._check()
        found = self._objects.get((kind, name))
        if (found.version if found else platform.ABSENT) != expected:
            raise errors.ConflictError("changed since")
        version = next(self._versions)
        self._objects[kind, name] = platform.Object(name, version, value)
        self.writes += 1
        if self.mode == "reply-lost":
            raise errors.PlatformUnavailableError("the reply was lost")
        return version

    def _check(self):
        if self.mode == "down":
            raise errors.PlatformUnavailableError("down")


class _OffsetClock:
    def __init__(self, clock, offset_s):
        self._clock = clock
        self._offset_s = offset_s

    def now_s(self):
        return self._clock.now_s() + self._offset_s


class Daemon:
    """A limiter with its own clock, directory and inbox."""

    def __init__(self, site, record, offset_s):
        self.record = record
        self.paused = False
        self.inbox = []
        self.version = -1
        self.directory = members.create_directory(record)
        self.clock = _OffsetClock(site.clock, offset_s)
        self.timers = timers.create_manual_timer_service(self.clock)
        self.next_sync_s = 0.0
        self.limiter = site.create_limiter(
            limits.Dependencies(
                timers=self.timers,
                directory=self.directory,
                store=site.store,
                send=lambda peer, message: site.send(self, peer, message),
                random=random.Random(record.name),
            )
        )


class Site:
    """Daemons, a network that can fail, and a record of admitted calls."""

    def __init__(
        self,
        seed,
        data_centres=("east", "west"),
        create_limiter=limits.create_limiter,
    ):
        self.create_limiter = create_limiter
        self.clock = fakes.create_clock()
        self.store = Store()
        self.daemons = {}
        self.sent = 0
        self.admissions = []
        # When each call was offered, and whether it was admitted.
        self.verdicts = []
        self.loss = self.repeats = self.delay_s = 0.0
        self._random = random.Random(seed)
        self._centres = data_centres
        self._cuts = set()
        self._network = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        self._snapshots = []
        self._loop = asyncio.new_event_loop()

    def close(self):
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._turn()
        self._loop.close()

    def add(self, name, data_centre, address=""):
        """Starts a daemon, in place of one of the same name if there is one."""
        record = members.Record(
            name=name,
            incarnation=next(self._incarnations),
            data_centre=data_centre,
            service="back",
            call_address="",
            peer_address=address or name,
            admin_address="",
            public_key=f"{name}-{self.clock.now_s()}",
        )
        offset_s = self._random.uniform(0, 10_000)
        daemon = self.daemons[name] = Daemon(self, record, offset_s)
        self.daemons[name].version = -1
        for other in self.daemons.values():
            other.directory.put(record)
            daemon.directory.put(other.record)
        if self._snapshots:
            self.tell(name)

    def remove(self, name):
        """Kills a daemon; the others remove it from their directories."""
        removed = self.daemons.pop(name)
        for other in self.daemons.values():
            other.directory.remove(name, removed.record.incarnation)

    def configure(self, rate_per_s, burst):
        """Creates a configuration without applying it at any daemon."""
        site = configuration.create_site(list(self._centres))
        site.add_client_account(ACCOUNT, rate_per_s=rate_per_s, burst=burst)
        text = site.to_json().encode()
        version = len(self._snapshots) + 1
        self._snapshots.append(snapshot.create_snapshot(version, text))

    def tell(self, name):
        """Applies the newest configuration at a daemon."""
        daemon = self.daemons[name]
        daemon.version = len(self._snapshots) - 1
        daemon.limiter.configure(self._snapshots[-1])

    def account_of(self, daemon):
        """Returns the account's limits in the configuration of a daemon."""
        return self._snapshots[daemon.version].accounts[ACCOUNT]

    def in_force(self):
        """Returns the set of the account's limits in force at any daemon."""
        return {
            self.account_of(daemon)
            for daemon in self.daemons.values()
            if daemon.version >= 0
        }

    def allocator(self, data_centre):
        """Returns a data centre's daemon that lends from the most parts."""
        return max(
            (
                n
                for n, d in self.daemons.items()
                if d.record.data_centre == data_centre
            ),
            key=lambda n: len(self.daemons[n].limiter.lendable_parts()),
        )

    def cut(self, some):
        """Partitions `some` from the other daemons."""
        rest = set(self.daemons) - set(some)
        self._cuts = {(a, b) for a in some for b in rest}

    def heal(self):
        self._cuts = set()

    def send(self, sender, peer, message):
        """Sends a message subject to the current faults of the network."""
        self.sent += 1
        name = sender.record.name
        if (name, peer) in self._cuts or (peer, name) in self._cuts:
            return
        if self._random.random() < self.loss or peer not in self.daemons:
            return
        data = codec.encode(message)
        is_local = sender.record.data_centre == (
            self.daemons[peer].record.data_centre
        )
        for _ in range(1 + (self._random.random() < self.repeats)):
            extra_delay_s = self._random.uniform(0, self.delay_s)
            due_s = self.clock.now_s() + _LATENCY_S[is_local] + extra_delay_s
            order = next(self._order)
            heapq.heappush(self._network, (due_s, order, name, peer, data))

    def run(self, seconds, calls_per_s):
        """Advances time while calls arrive.

        Args:
            seconds: How long to run.
            calls_per_s: Calls per second by daemon.
        """
        due = dict.fromkeys(calls_per_s, 0.0)
        for step in range(round(seconds / _STEP_S)):
            self.clock.advance(_STEP_S)
            if step % _DISJOINT_CHECK_STEPS == 0:
                self._check_parts_disjoint()
            for name in due:
                due[name] += calls_per_s[name] * _STEP_S
                while due[name] >= 1:
                    due[name] -= 1
                    self.offer(name)
            self._settle()

    def offer(self, name):
        """Sends a call to a daemon."""
        daemon = self.daemons.get(name)
        if daemon is None or daemon.version < 0:
            return
        if not daemon.paused:
            self._loop.create_task(self._call(daemon))

    async def _call(self, daemon):
        account = self.account_of(daemon)
        deadline_s = daemon.clock.now_s() + 5.0
        offered_s = self.clock.now_s()
        verdict = await daemon.limiter.take(account, deadline_s)
        admitted = verdict is outcomes.ADMIT
        self.verdicts.append((offered_s, admitted))
        if admitted:
            self.admissions.append(self.clock.now_s())

    def _check_parts_disjoint(self):
        for centre in self._centres:
            parts_by_daemon = [
                daemon.limiter.lendable_parts()
                for daemon in self.daemons.values()
                if daemon.record.data_centre == centre
            ]
            part_count = sum(len(indexes) for indexes in parts_by_daemon)
            assert part_count == len(frozenset().union(*parts_by_daemon)), (
                parts_by_daemon
            )

    def _settle(self):
        # Messages of one step may cause others that arrive in the same step.
        busy = True
        while busy:
            self._deliver()
            awake = [d for d in self.daemons.values() if not d.paused]
            busy = any(daemon.inbox for daemon in awake)
            for daemon in awake:
                self._work(daemon)
            self._turn()

    def _work(self, daemon):
        inbox, daemon.inbox = daemon.inbox, []
        for sender, data in inbox:
            daemon.limiter.receive(sender, codec.decode(data))
        daemon.timers.run_due()
        if self.clock.now_s() >= daemon.next_sync_s:
            daemon.next_sync_s = self.clock.now_s() + _SYNC_INTERVAL_S
            self._loop.run_until_complete(
                daemon.limiter.ledger_synchronizer.step()
            )

    def _deliver(self):
        now_s = self.clock.now_s()
        while self._network and self._network[0][0] <= now_s:
            _, _, sender, peer, data = heapq.heappop(self._network)
            if peer in self.daemons:
                self.daemons[peer].inbox.append((sender, data))

    def _turn(self):
        for _ in range(2):
            self._loop.call_soon(self._loop.stop)
            self._loop.run_forever()
