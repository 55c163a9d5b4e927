"""Case 1: a router that takes the rollout's lease overwrites the last holder's note with an old one of its own.

Planned restarts of two routers, one after the other, while weights are being rolled out. Steps:

1. Each of the three routers holds the lease once, with nothing to order: the holder is frozen (at most two
   at once), and the next one takes the lease.
2. The operator names version 3. The holder orders the engines to load it and is stopped by SIGTERM right after
   its last order. The operator names version 4.
3. The router that takes the lease next is stopped by SIGTERM at that moment, as a rolling restart may.
4. The third router takes the lease and orders the engines.

Rule ONE: orders of two holders at one engine within lease_ms. TROUBLE=0: the same without the freezes and
without the stops.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins"))

from engine import ModelEngine  # noqa: E402
from store import Store  # noqa: E402
from system import (CONTACT_S, LEASE_S, THAW_SLACK_S, ZONES, CannotRun, Record, System, http)  # noqa: E402

MODEL, SERVICE, HOST, KEY = "model-1", "llm", "a.example", "key-1"
LEASE_ROW = "lease/weights-rollout"
ENGINES = 2
FREEZE_S = 3.6  # The pages' largest dose of node_freeze is 4 s, of one machine; twice that is allowed.
STEP_LIMIT_S = 12.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CONFIG = {
    "version": 1,
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
    "routes": [{"name": "report", "host": HOST, "path_prefix": "/report/", "kind": "streaming",
                "timeout_ms": 6000, "target_latency_ms": 800, "target_gap_ms": 500, "priority": 1,
                "retry_attempts": 2, "resumable": True, "sticky": True, "service": SERVICE}],
    "services": [{"name": SERVICE, "health_check_path": "/health", "connection_limit": 360,
                  "engine": {"slots": 64, "kv_capacity_tokens": 110556, "kv_token_bytes": 163840}}],
}


def holder_in(value):
    """Returns the name of the holder in a row of the lease, "" if it is free."""
    fields = value.decode().split(" ", 7)
    return fields[7] if fields[5] == "1" else ""


class Case:
    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.system = System(record)
        self.named = {1}
        self.engines, self.tasks = [], []
        self.holder = ""                # By the store's row.
        self.stop_next = False          # Stop the router that takes the lease next.
        self.stopped_as_taking = None
        self.requests = self.served = 0
        self.store.before_condition_write = self.before_write
        self.store.after_condition_write = self.after_write

    def before_write(self, router, asked):
        for put in asked.get("put", []):
            if put["private_key"] == LEASE_ROW and self.stop_next and self.holder == "":
                self.stop_next = False
                self.stopped_as_taking = router
                self.record(f"{router} asks the store for the lease")
                self.system.router(router).send(signal.SIGTERM)

    def after_write(self, router, _, key, value):
        if key != LEASE_ROW:
            return
        holder = holder_in(value)
        if holder != self.holder:
            self.record(f"the store took from {router}: holder of the lease is {holder or 'nobody'} "
                        f"(row: {value.decode()})")
        self.holder = holder

    async def wait(self, what, condition, limit=STEP_LIMIT_S):
        until = time.monotonic() + limit
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not within {limit} s: {what}")
            await asyncio.sleep(0.01)

    def name_version(self, version):
        self.named.add(version)
        self.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": version})
        self.record(f"the operator names version {version}")

    async def request_steadily(self):
        """A few requests a second at each router, so that it is seen to serve."""
        number = 0
        while True:
            await asyncio.sleep(0.1)
            number += 1
            router = self.system.routers[number % len(self.system.routers)]
            self.tasks.append(asyncio.create_task(self.request(router, number)))

    async def request(self, router, number):
        head = (f"POST /report/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {number:016x}\r\nX-Model: {MODEL}\r\n"
                f"X-Token-Usage: 100,10\r\nX-Prompt-Prefix: a1:60,{number:x}:40\r\nX-Deadline-Ms: 6000\r\n"
                f"Authorization: Token {KEY}\r\nConnection: close\r\nContent-Length: 2\r\n\r\n")
        status, rest = await http(router.caller, head, 6.5, b"{}")
        whole = status == 200 and rest.endswith(b"0\r\n\r\n")
        self.requests, self.served = self.requests + 1, self.served + whole
        self.record(f"request {number:016x} at {router.name}: {status}{'' if whole or status != 200 else ', cut'}")

    def orders(self):
        return sorted((one for engine in self.engines for one in engine.arrivals), key=lambda one: one["at"])

    def all_at(self, version):
        return all(engine.version == version and not engine.busy for engine in self.engines)

    def was_ordered(self, version):
        return all(any(one["version"] == version and one["answer"] == 202 for one in engine.arrivals)
                   for engine in self.engines)

    async def take_turns(self):
        """Lets each router hold the lease once, with nothing to order."""
        held = {self.holder}
        while len(held) < len(self.system.routers):
            frozen = [self.system.router(name) for name in held][-2:]
            if self.holder not in held:
                frozen = [self.system.router(self.holder)]
            for one in frozen:
                one.send(signal.SIGSTOP)
            frozen_names = {one.name for one in frozen}
            began = time.monotonic()
            try:
                await self.wait("a router takes the lease of a frozen one",
                                lambda: self.holder and self.holder not in frozen_names, 7.5)
                await asyncio.sleep(max(0.0, began + FREEZE_S - time.monotonic()))
            finally:
                for one in frozen:
                    one.send(signal.SIGCONT)
            held.add(self.holder)
            await asyncio.sleep(1.0)

    async def play(self):
        self.store.put("op", "config", CONFIG)
        self.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        for number in range(ENGINES):
            engine = ModelEngine(f"i-{number}", SERVICE, ZONES[number % len(ZONES)], MODEL, 1, self.store, self.record,
                                 self.named, fenced=True)
            await engine.start()
            self.engines.append(engine)
        for number, zone in enumerate(ZONES):
            await self.system.add_router(f"front-{number + 1}", zone, self.store)
        await self.system.start()
        self.record("all routers are ready")
        self.tasks.append(asyncio.create_task(self.request_steadily()))
        await self.wait("a router holds the lease", lambda: self.holder)
        self.name_version(2)
        await self.wait("all engines have version 2", lambda: self.all_at(2))
        await asyncio.sleep(1.0)
        if TROUBLE:
            await self.take_turns()
        await asyncio.sleep(CONTACT_S + 0.5)  # From here on all routers are in touch.
        self.name_version(3)
        await self.wait("all engines were ordered to load version 3", lambda: self.was_ordered(3))
        if TROUBLE:
            self.stop_next = True
            self.system.router(self.orders()[-1]["holder"]).send(signal.SIGTERM)
        self.name_version(4)
        await self.wait("all engines have version 4", lambda: self.all_at(4), 20)
        await asyncio.sleep(1.0)

    def thawed_just_before(self, order):
        return any(end is not None and 0 <= order["at"] - end < THAW_SLACK_S
                   for _, end in self.system.router(order["holder"]).disturbed)

    def violations(self):
        """Orders of two holders in touch that reached one engine within `LEASE_S` of each other."""
        found = []
        for engine in self.engines:
            counted = [one for one in engine.arrivals
                       if self.system.router(one["holder"]).in_touch(one["at"]) and not self.thawed_just_before(one)]
            for before, after in zip(counted, counted[1:]):
                if before["holder"] != after["holder"] and after["at"] - before["at"] < LEASE_S:
                    found.append((before, after))
        return found

    def end(self):
        for task in self.tasks:
            task.cancel()
        for engine in self.engines:
            for task in engine.tasks:
                task.cancel()
            engine.close()
        self.store.close()
        self.system.end(os.environ.get("KEEP_LOGS"))


async def main():
    record = Record(HERE / "record.txt")
    case = None
    try:
        case = Case(record)
        await case.play()
        record(f"{case.served} of {case.requests} requests were served")
        if TROUBLE and case.stopped_as_taking is None:
            raise CannotRun("no router was stopped as it took the lease")
        found = case.violations()
        for before, after in found:
            record(f"ONE is broken at {before['engine']}: {before['holder']} (token {before['token']}) ordered version "
                   f"{before['version']} at {record.at(before['at'])}, {after['holder']} (token {after['token']}) "
                   f"version {after['version']} at {record.at(after['at'])}: {after['at'] - before['at']:.3f} s "
                   f"apart, lease_ms is {LEASE_S * 1000:.0f}; both in touch")
        record("the rule was broken" if found else "the rule held")
        return 1 if found else 0
    except Exception as reason:  # A fault of the case itself must not count as a broken rule.
        record(f"the case could not run: {type(reason).__name__}: {reason}")
        return 2
    finally:
        if case is not None:
            case.end()


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except BaseException as reason:  # Python's own exit code would be that of a broken rule.
        print(f"the case could not run: {type(reason).__name__}: {reason}", file=sys.stderr)
        code = 2
    sys.exit(code)
