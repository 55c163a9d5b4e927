"""A router gets SIGTERM while it serves requests, in a deployment whose `grace_s` is a fraction (7.5)."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "stand_ins_2"))

from case import LIMITS, TROUBLE, CannotRun, play  # noqa: E402
from engine import Engine  # noqa: E402

HOST = "records.example"
GRACE_S, WORK_S, DEADLINE_S = 7.5, 0.8, 3.0
REQUESTS = 6
CALM_S = 4.0  # Over `contact_ms` without any disruption before the requests.
CONFIG = {
    "version": 1, "limits": LIMITS, "tenants": [],
    "routes": [{"name": "post", "host": HOST, "path_prefix": "/post/", "kind": "unsafe", "timeout_ms": 3000,
                "target_latency_ms": 300, "priority": 1, "service": "app", "retry_attempts": 1, "public": True}],
    "services": [{"name": "app", "health_check_path": "/health", "connection_limit": 100}]}


async def send(case, address, id_):
    """Sends one request. Returns whether its answer is complete."""
    reader, writer = await asyncio.open_connection(*address)
    body = b'{"calibration":1}'
    writer.write((f"POST /post/record HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id_}\r\n"
                  f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
    await writer.drain()
    sent = time.monotonic()
    whole, answer = False, b""
    try:
        async with asyncio.timeout(DEADLINE_S):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            answer = head + await reader.readexactly(length)
            whole = True
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError, ValueError):
        pass
    writer.transport.abort()
    what = answer.split(b"\r\n")[0].decode() if whole else "connection ended without a complete answer"
    case.record(f"client sent id={id_}; after {time.monotonic() - sent:.3f} s: {what}")
    return whole


async def story(case):
    case.store.put("op", "config", CONFIG)
    engines = [Engine(f"app{n}", "app", case.store, case.record, work_s=WORK_S) for n in range(2)]
    await case.start_engines(engines)
    await case.start_routers(2, bounds={"grace_s": GRACE_S})
    if not await send(case, case.routers[0].address, "00" * 8):
        raise CannotRun("the system does not serve")
    await asyncio.sleep(CALM_S)
    stopped = case.routers[0]
    sending = [case.spawn(send(case, stopped.address, f"{n + 1:016x}")) for n in range(REQUESTS)]
    await asyncio.sleep(WORK_S / 2)
    began = time.monotonic()
    if TROUBLE:
        case.record(f"SIGTERM to {stopped.name}; it may be killed after grace_s = {GRACE_S} s")
        stopped.signal(signal.SIGTERM)
    whole = await asyncio.gather(*sending)
    if TROUBLE:
        while stopped.process.poll() is None and time.monotonic() < began + GRACE_S:
            await asyncio.sleep(0.02)
        case.record(f"{stopped.name} ended {time.monotonic() - began:.2f} s after SIGTERM")
    ran = {id_ for one in engines for _, id_ in one.ran}
    return [f"LOST: {n + 1:016x} was read and passed on to an engine, and its connection ended without an answer"
            for n, ended_whole in enumerate(whole) if not ended_whole and f"{n + 1:016x}" in ran]


play(FOLDER, story)
