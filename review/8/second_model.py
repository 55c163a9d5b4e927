"""Engines have two models each. New weights are named for the first model, and later for the second one.
Without the disruption the second naming isn't made.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from case import LIMITS, TROUBLE, CannotRun, play  # noqa: E402
from model_engine import ModelEngine  # noqa: E402

HOST, FIRST, SECOND = "summaries.example", "daka510000", "moru620000"
ENGINES, NAMED = 4, 2
VERSION_S, VERSION_FLEET_S = 8.0, 11.0
SETTLED_S, TRAFFIC_S = 6.0, 30.0
CONFIG = {
    "version": 1, "limits": LIMITS, "tenants": [],
    "routes": [{"name": "kept", "host": HOST, "path_prefix": "/kept/", "kind": "streaming", "timeout_ms": 6000,
                "target_latency_ms": 800, "target_gap_ms": 500, "priority": 1, "service": "models",
                "retry_attempts": 2, "resumable": True, "sticky": True, "public": True}],
    "services": [{"name": "models", "health_check_path": "/health", "connection_limit": 300,
                  "engine": {"slots": 16, "kv_capacity_tokens": 90000, "kv_token_bytes": 18432,
                             "models": [{"name": FIRST}, {"name": SECOND}]}}]}


class Clients:
    def __init__(self, case):
        self.case, self.number, self.answers = case, 0, []  # Of (time, model, status).

    async def ask(self, model):
        self.number += 1
        number, sent, status = self.number, time.monotonic(), 0
        try:
            async with asyncio.timeout(6):
                reader, writer = await asyncio.open_connection(*self.case.routers[number % 2].address)
                writer.write((f"POST /kept/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {number:016x}\r\n"
                              f"X-Model: {model}\r\nX-Token-Usage: 650,20\r\n"
                              f"X-Prompt-Prefix: 5c1e07a2:400,{0xe4400000 + number:x}:250\r\nX-Deadline-Ms: 6000\r\n"
                              "Content-Length: 0\r\nConnection: close\r\n\r\n").encode())
                answer = await reader.read(-1)
                status = int(answer.split()[1]) if answer else 0
                writer.transport.abort()
        except (OSError, TimeoutError):
            pass
        self.answers.append((sent, model, status))
        self.case.record(f"client sent id={number:016x} model={model}: {status}")

    async def run(self, seconds):
        """Two requests a second, one for each model."""
        asked, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            asked += [self.case.spawn(self.ask(model)) for model in (FIRST, SECOND)]
            await asyncio.sleep(1.0)
        await asyncio.gather(*asked)

    def served(self, model, since):
        found = [status == 200 for sent, name, status in self.answers if name == model and sent >= since]
        return f"{sum(found)} of {len(found)}"


async def story(case):
    case.store.put("op", "config", CONFIG)
    engines = [ModelEngine(f"m{n}", "models", case.store, case.record, [FIRST, SECOND]) for n in range(ENGINES)]
    await case.start_engines(engines)
    await case.start_routers(2)
    clients = Clients(case)
    await clients.run(4.0)  # Also the time after which routers contend for orders.

    def behind(model):
        return sum(one.versions[model] < NAMED for one in engines)
    case.store.put("op", f"version/{FIRST}", {"model": FIRST, "version": NAMED})
    case.record(f"the store acknowledged version {NAMED} of {FIRST}")
    await clients.run(SETTLED_S)
    if behind(FIRST):
        raise CannotRun(f"{behind(FIRST)} engines did not get the new version of the first model")
    if TROUBLE:
        case.store.put("op", f"version/{SECOND}", {"model": SECOND, "version": NAMED})
        case.record(f"the store acknowledged version {NAMED} of {SECOND}")
    named = time.monotonic()
    await clients.run(TRAFFIC_S)
    for model in (FIRST, SECOND):
        case.record(f"{model}: {behind(model)} of {ENGINES} engines have an older version; served of the requests "
                    f"sent from {VERSION_S:g} s after the last naming on: {clients.served(model, named + VERSION_S)}")
    lasted = time.monotonic() - named
    late = behind(SECOND)
    if TROUBLE and lasted > max(1.5 * VERSION_S, VERSION_FLEET_S) and late > 1 and late * 10 > ENGINES:
        return [f"VERSION: {late} of {ENGINES} engines still have an older version of {SECOND} {lasted:.1f} s after "
                f"the naming; served of its requests from {VERSION_S:g} s on: "
                f"{clients.served(SECOND, named + VERSION_S)}"]
    return []


play(FOLDER, story)
