"""Dashboards ask the same query again and again. The engines of their service crash twice while queries
are in progress, then all routers are killed and started again. Counted: what is served from `recovery_s`
after that on, when all engines have long been sound.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "stand_ins_2"))

from case import LIMITS, TROUBLE, CannotRun, play  # noqa: E402
from engine import Engine  # noqa: E402

HOST, DASHBOARDS = "dashboards.example", 3
WORK_S, DEADLINE_S = 1.5, 4.0
CALM_ROUNDS, CRASH_ROUNDS, LAST_ROUNDS = 2, 2, 6
PERIOD_S, LAST_PERIOD_S = 12.0, 5.0
CRASH_AFTER_S, DOWN_S = 0.9, 3.0  # From the start of a round; the site's longest `srv_crash` is longer.
RECOVERY_S = 12.0
CONFIG = {
    "version": 1, "limits": LIMITS, "tenants": [],
    "routes": [{"name": "board", "host": HOST, "path_prefix": "/board/", "kind": "safe", "timeout_ms": 4000,
                "target_latency_ms": 2000, "priority": 1, "service": "app", "retry_attempts": 2, "public": True}],
    "services": [{"name": "app", "health_check_path": "/health", "connection_limit": 100}]}


class Clients:
    def __init__(self, case):
        self.case, self.number, self.sent = case, 0, []  # `sent`: (time, served) of each request.

    async def _try(self, router, board):
        """One client attempt with an id of its own. Returns its status, and the seconds to wait."""
        self.number += 1
        id_, sent = f"{self.number:016x}", time.monotonic()
        status, wait = 0, 0.0
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(*router.address)
                writer.write((f"GET /board/{board}/today HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id_}\r\n"
                              f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nConnection: close\r\n\r\n").encode())
                answer = await reader.read(-1)
                status = int(answer.split()[1]) if answer else 0
                for line in answer.partition(b"\r\n\r\n")[0].split(b"\r\n"):
                    if line.lower().startswith(b"retry-after:"):
                        wait = float(line.split(b":")[1])
                writer.transport.abort()
        except (OSError, TimeoutError):
            pass
        self.sent.append((sent, status == 200))
        self.case.record(f"dashboard {board}, id={id_}, {router.name}: status {status} after "
                         f"{time.monotonic() - sent:.2f} s" + (f", Retry-After {wait:g}" if wait else ""))
        return status, wait

    async def ask(self, board):
        """Sends a query, and once more at another router if that is within its deadline (PROTOCOL.md)."""
        end = time.monotonic() + DEADLINE_S
        routers = self.case.routers
        status, wait = await self._try(routers[board % len(routers)], board)
        left = end - time.monotonic()
        if status != 200 and left > WORK_S and wait <= left / 3:
            await asyncio.sleep(wait)
            await self._try(routers[(board + 1) % len(routers)], board)

    async def round(self):
        """All dashboards ask, shortly after one another."""
        asked = []
        for board in range(DASHBOARDS):
            asked.append(self.case.spawn(self.ask(board)))
            await asyncio.sleep(0.25)
        await asyncio.gather(*asked)


async def crash_all(case):
    await asyncio.sleep(CRASH_AFTER_S)
    case.record("all engines crash")
    for one in case.engines:
        one.crash()
    await asyncio.sleep(DOWN_S)
    for one in case.engines:
        await one.begin()
    case.record("all engines are back, each with a new id")


async def story(case):
    case.store.put("op", "config", CONFIG)
    await case.start_engines([Engine(f"app{n}", "app", case.store, case.record, work_s=WORK_S) for n in range(3)])
    await case.start_routers(2)
    clients = Clients(case)
    for number in range(CALM_ROUNDS + CRASH_ROUNDS):
        began = time.monotonic()
        crash = case.spawn(crash_all(case)) if TROUBLE and number >= CALM_ROUNDS else None
        await clients.round()
        if crash is not None:
            await crash
        await asyncio.sleep(max(0.0, began + PERIOD_S - time.monotonic()))
    before = [served for _, served in clients.sent]
    if sum(before) * 4 < len(before):
        raise CannotRun(f"only {sum(before)} of {len(before)} requests were served before the final fault")
    if TROUBLE:
        case.record("all routers are killed")
        for one in case.routers:
            one.kill()
        await asyncio.sleep(1.0)
        for one in case.routers:
            one.start()
        for one in case.routers:
            if not await one.until_ready():
                raise CannotRun("the routers did not come back")
        case.record("all routers are back")
    back = time.monotonic()
    await asyncio.sleep(RECOVERY_S + 0.5)
    for _ in range(LAST_ROUNDS):
        await clients.round()
        await asyncio.sleep(LAST_PERIOD_S)
    after = [served for sent, served in clients.sent if sent > back + RECOVERY_S]
    case.record(f"served before the final fault: {sum(before)} of {len(before)}; later than {RECOVERY_S:g} s after "
                f"the machines were back: {sum(after)} of {len(after)}")
    if sum(after) * 4 < len(after):
        return [f"RECOVER: {sum(after)} of {len(after)} requests served, {sum(before)} of {len(before)} before"]
    return []


play(FOLDER, story)
