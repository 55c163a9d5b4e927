"""Stand-ins of model engines with a KV cache, and of the store of kept KV cache (PROTOCOL.md, "KV cache").

Each cached part remembers the version of the weights that made it. The wire never tells it.
"""

import asyncio
import collections
import dataclasses
import itertools
import time
import urllib.parse

from engine import ModelEngine
from http_server import Server, head_of

PREFILL_TOKENS_PER_S, STEP_S, TOKENS_PER_EVENT, CHUNK = 38400.0, 0.00523, 4, 4096
FETCH_S, EVENT_HISTORY, EVENTS_LAG_S = 0.002, 4000, 0.08


@dataclasses.dataclass
class Part:
    tokens: int
    made_by: int  # Version of the weights.


class PartCache:
    """Parts by (salt, id), the least recently used first, with the events that /-/kv-events answers."""

    def __init__(self, model):
        self.model, self.parts = model, collections.OrderedDict()
        self.epoch, self.number, self.events, self.changed = int(time.time() * 1e6), 0, [], asyncio.Event()

    def _tell(self, sign, key, tokens):
        self.number += 1
        self.events.append((time.monotonic(), [self.number, sign, key[0], key[1], tokens, self.model]))
        del self.events[:-EVENT_HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, part):
        if key not in self.parts:
            self._tell("+", key, part.tokens)
        self.parts[key] = part
        self.parts.move_to_end(key)

    def drop(self, key):
        if self.parts.pop(key, None) is not None:
            self._tell("-", key, 0)

    def clear(self):
        for key in list(self.parts):
            self.drop(key)

    def leading(self, salt, parts):
        """Returns how many of the parts are kept, from the first on without a gap."""
        return sum(1 for _ in itertools.takewhile(lambda one: (salt, one[0]) in self.parts, parts))

    async def answer(self, target, headers):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
        since, until = int(query.get("since", 0)), time.monotonic() + min(int(headers.get("wait-ms", 0)), 1000) / 1000

        def found():
            told_until = time.monotonic() - EVENTS_LAG_S
            return [event for at, event in self.events if event[0] > since and at <= told_until]
        while not found() and time.monotonic() < until:
            await asyncio.sleep(0.02)
        events = found()
        lost = bool(self.events) and since + 1 < self.events[0][1][0]
        return {"boot_epoch": self.epoch, "next_page_token": events[-1][0] if events else since, "lost": lost,
                "events": events}


class KvStore(Server):
    """The store of kept KV cache. It keeps each part as it was first produced, until it restarts."""

    def __init__(self, model, record):
        super().__init__()
        self.model, self.record, self.address, self.down = model, record, "", False
        self.cache = PartCache(model)

    async def start(self):
        self.address = await self.listen("127.0.0.1")

    async def crash(self, seconds):
        """Is down for a while and returns empty."""
        self.record("the store of kept KV cache goes down")
        self.down, self.cache = True, PartCache(self.model)
        self.close()
        await asyncio.sleep(seconds)
        host, _, port = self.address.rpartition(":")
        self.servers = []
        await self.listen(host, int(port))
        self.down = False
        self.record("the store of kept KV cache is back, empty")

    def save(self, key, part):
        """Returns whether the store took the part."""
        if self.down or key in self.cache.parts:
            return False
        self.cache.put(key, dataclasses.replace(part))
        return True

    async def handle(self, method, target, headers, body, writer):
        if target.startswith("/-/kv-events"):
            return await ModelEngine._json(self, writer, 200, await self.cache.answer(target, headers))
        return await self.send(writer, 404, {})


class Run:
    """A request at an engine."""

    def __init__(self, headers, order):
        self.id, self.salt, self.order = headers.get("x-request-id", ""), headers.get("x-cache-salt", ""), order
        self.priority = int(headers.get("x-request-priority", 5))
        self.parts = [(one.rpartition(":")[0], int(one.rpartition(":")[2]))
                      for one in headers["x-prompt-prefix"].split(",")]
        self.input, self.output = (int(one) for one in headers["x-token-usage"].split(","))
        self.fetch, self.save = headers.get("x-kv-fetch"), headers.get("x-kv-save")
        self.first = int(headers.get("last-event-id", 0))
        self.made = self.first * TOKENS_PER_EVENT  # Tokens generated.
        self.begun = False      # Has its first token.
        self.own = self.input - sum(tokens for _, tokens in self.parts[:-1])  # Tokens of its last part.
        self.preempted = False
        self.gone = lambda: False


class KvEngine(ModelEngine):
    """`stores`: addresses of stores and engines -> their stand-ins. `stale`: requests that began on parts made
    under another version than the engine's, as (time, run, part id, made by, version)."""

    def __init__(self, *arguments, capacity, slots, stores, queue=192):
        super().__init__(*arguments)
        self.capacity, self.slots, self.queue_limit, self.stores = capacity, slots, queue, stores
        self.cache = PartCache(self.model)
        self.active, self.waiting, self.count = [], [], itertools.count()
        self.stale, self.preemptions, self.rereads = [], 0, []

    async def start(self):
        await super().start()
        self.stores[self.address] = self

    def close(self):
        super().close()

    # Memory

    def _held(self, runs=None):
        """Returns the tokens of memory that runs take. A part that several share counts once."""
        runs = self.active if runs is None else runs
        shared = {(run.salt, part): tokens for run in runs for part, tokens in run.parts[:-1]}
        return sum(run.own + run.made for run in runs) + sum(shared.values())

    def _evictable(self):
        used = {(run.salt, part) for run in self.active for part, _ in run.parts[:-1]}
        return [key for key in self.cache.parts if key not in used]

    def _make_room(self):
        """Evicts cached parts, then preempts the newest of the least urgent runs, until all fits."""
        evictable = self._evictable()
        excess = self._held() + sum(self.cache.parts[key].tokens for key in evictable) - self.capacity
        for key in evictable:
            if excess <= 0:
                break
            excess -= self.cache.parts[key].tokens
            self.cache.drop(key)
        while self._held() > self.capacity and len(self.active) > 1:
            self._preempt(max(self.active, key=lambda run: (run.priority, run.order)))

    def _preempt(self, victim):
        self.active.remove(victim)
        victim.preempted = True
        self.preemptions += 1
        self.waiting.append(victim)
        self.record(f"{self.name} preempts request {victim.id}{' after its first token' if victim.begun else ''}")

    def _displace_for(self, run):
        """Preempts less urgent runs, the newest first, if the run then fits."""
        less_urgent = sorted((one for one in self.active if one.priority > run.priority),
                             key=lambda one: (-one.priority, -one.order))
        victims, stay = [], self.active + [run]
        while self._held(stay) > self.capacity and less_urgent:
            victims.append(less_urgent.pop(0))
            stay.remove(victims[-1])
        if self._held(stay) <= self.capacity:
            for one in victims:
                self._preempt(one)

    # Orders

    async def _load(self, version):
        """transfer_mode keep: runs go on under the new version. What the engine kept is dropped."""
        self.cache.clear()
        await super()._load(version)
        self.record(f"{self.name} has version {version}")

    # Requests

    async def handle(self, method, target, headers, body, writer):
        if target.startswith("/-/kv-events"):
            return await self._json(writer, 200, await self.cache.answer(target, headers))
        return await super().handle(method, target, headers, body, writer)

    async def _run(self, headers, marks, writer):
        marks = {**marks, "X-Request-Id": headers.get("x-request-id", "")}
        rejected = {**marks, "X-Not-Executed": "1"}
        if self.busy or len(self.waiting) >= self.queue_limit:
            return await self.send(writer, 503, rejected)
        if "x-expect-version" in headers and int(headers["x-expect-version"]) != self.version:
            return await self.send(writer, 421, rejected)
        run = Run(headers, next(self.count))
        run.gone = writer.gone
        if run.input + run.output > self.capacity:
            return await self.send(writer, 503, rejected)
        self.waiting.append(run)
        try:
            if not await self._begin(run):
                return await self.send(writer, 503, rejected)
            signature = f"{self.name}.{run.id}"
            writer.write(head_of(200, {**marks, "X-Weight-Versions": self.version, "X-Response-Signature": signature,
                                       "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
            for number in range(run.first + 1, -(-run.output // TOKENS_PER_EVENT) + 1):
                while self.busy or run.preempted:
                    await asyncio.sleep(0.01)
                    if run.preempted and not self.busy:
                        await self._begin(run)
                if run.gone():
                    return None
                run.made += TOKENS_PER_EVENT
                event = f"id: {number}\ndata: {signature} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                self._make_room()
                await asyncio.sleep(STEP_S * TOKENS_PER_EVENT)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            for runs in (self.waiting, self.active):
                if run in runs:
                    runs.remove(run)
        return None

    async def _begin(self, run):
        """Admits the run and reads its input. Returns False where it isn't run: an order came before its first
        token."""
        while True:
            if not run.begun and self.busy:
                return False
            if run.gone():
                raise ConnectionError
            first = min(self.waiting, key=lambda one: (one.priority, one.order))
            if run is first and not self.busy:
                self._displace_for(run)
            fits = self._held(self.active + [run]) <= self.capacity or not self.active
            if run is first and len(self.active) < self.slots and fits and not self.busy:
                break
            await asyncio.sleep(0.005)
        self.waiting.remove(run)
        self.active.append(run)
        run.preempted = False
        self._make_room()
        used = await self._read_input(run)
        if run.preempted or (self.busy and not run.begun):
            if run in self.active:
                self.active.remove(run)
            if not run.begun:
                if run in self.waiting:
                    self.waiting.remove(run)
                if self.busy:
                    return False
                run.preempted = False
                self.waiting.append(run)
                return await self._begin(run)
            return True
        if not run.begun:
            run.begun = True
            self.record(f"request {run.id} begins at {self.name} under version {self.version}, salt {run.salt}")
            self.runs.append((time.monotonic(), run.id))
            for part, made_by in used:
                if made_by != self.version:
                    self.stale.append((time.monotonic(), run, part, made_by, self.version))
                    self.record(f"STALE: request {run.id} begins at {self.name} under version {self.version} on part "
                                f"{part} of salt {run.salt}, which was made under version {made_by}")
        return True

    async def _read_input(self, run):
        """Takes kept parts, fetches what the named source has beyond them, and reads the rest. Returns the parts that
        were not read, as (id, made by)."""
        version, shared = self.version, run.parts[:-1]
        kept = self.cache.leading(run.salt, shared)
        used = []
        for part, _ in shared[:kept]:
            self.cache.parts.move_to_end((run.salt, part))
            used.append((part, self.cache.parts[run.salt, part].made_by))
        source = self.stores.get(run.fetch)
        if source is not None and kept < len(shared):
            await asyncio.sleep(FETCH_S)
            for part, _ in shared[kept:source.cache.leading(run.salt, shared)]:
                moved = source.cache.parts[run.salt, part]
                source.cache.parts.move_to_end((run.salt, part))
                self.cache.put((run.salt, part), dataclasses.replace(moved))
                used.append((part, moved.made_by))
                kept += 1
                self.record(f"{self.name} fetches part {part} of salt {run.salt}, made under version {moved.made_by}, "
                            f"from {getattr(source, 'name', 'the store')} for request {run.id}")
        read = sum(tokens for _, tokens in run.parts[kept:])
        if run.begun and kept < len(shared):
            self.rereads.append((run.id, run.salt, version))
            self.record(f"{self.name} reads the input of request {run.id} anew under version {version}, salt {run.salt}")
        await asyncio.sleep(read / PREFILL_TOKENS_PER_S)
        if self.version == version and not (self.busy and not run.begun):
            for part, tokens in shared[kept:]:
                made = Part(tokens, version)
                self.cache.put((run.salt, part), made)
                store = self.stores.get(run.save)
                if isinstance(store, KvStore) and store.save((run.salt, part), made):
                    self.record(f"{self.name} saves part {part} of salt {run.salt}, made under version {version}, for "
                                f"request {run.id}")
        self._make_room()
        return used
