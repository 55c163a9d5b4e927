"""Frame of a case: a folder for temporary files, a record, routers that are always ended, an exit code.

Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

from platform_store import Store
from system import METRICS_PORT, Router, free_addresses

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 115.0
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case could not be brought about; says nothing about the rule."""


class Case:
    """`folder`: where record.txt is written. Used as an asynchronous context."""

    def __init__(self, folder):
        self.began, self.routers, self.engines, self.tasks = time.monotonic(), [], [], []
        self.out = open(pathlib.Path(folder) / "record.txt", "w")
        self.temporary = tempfile.TemporaryDirectory(prefix="ferryroad-review-")
        self.store = Store()

    def record(self, text):
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.out.flush()

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))
        return self.tasks[-1]

    async def start_engines(self, engines):
        for one in engines:
            await one.begin()
            self.engines.append(one)
            self.spawn(one.beats())

    async def start_routers(self, count, bounds=None):
        for number, ip in enumerate(free_addresses(count, METRICS_PORT), 1):
            self.routers.append(Router(number, ip, self.store.address, pathlib.Path(self.temporary.name),
                                       bounds=bounds))
            self.routers[-1].start()
        for one in self.routers:
            if not await one.until_ready():
                raise CannotRun(f"{one.name} did not become ready: "
                                f"{one.log.read_text(errors='replace')[-500:]}")
        self.record(f"{count} routers are ready")

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for one in self.tasks:
            one.cancel()
        for one in self.routers:
            one.kill()
        for one in self.engines:
            one.end()
        self.temporary.cleanup()


def play(folder, story):
    """Runs `story(case)`, which returns the texts of what broke the rule, and ends the process."""

    async def run():
        async with Case(folder) as case:
            case.record(f"TROUBLE={int(TROUBLE)}")
            try:
                async with asyncio.timeout(LIMIT_S):
                    broken = await story(case)
            except (CannotRun, TimeoutError, OSError) as failure:
                case.record(f"could not run: {failure!r}")
                print(f"could not run: {failure!r}", file=sys.stderr)
                return 2
            for one in broken:
                case.record(f"BROKEN {one}")
                print(f"broken: {one}")
            case.record("rule broken" if broken else "rule held")
            return 1 if broken else 0

    sys.exit(asyncio.run(run()))
