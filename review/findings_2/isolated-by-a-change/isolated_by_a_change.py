"""A change of the configuration isolates a tenant. From `config_apply_ms` after its acknowledgement on,
another tenant sends prompts with parts that requests of the isolated one had made before it.
Without the disruption the change isn't made, and nobody is isolated.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "stand_ins_2"))

from case import LIMITS, TROUBLE, CannotRun, play  # noqa: E402
from model_engine import ModelEngine  # noqa: E402

HOST, MODEL = "summaries.example", "daka510000"
KEYS = {"registry": "ctnfzs989anu6wsjnban", "visitors": "fqasnmgkcuyj8pjbvk9m"}
SUBJECTS, CONFIG_APPLY_S = 4, 2.0


def config_of(version, isolated):
    return {"version": version, "limits": LIMITS,
            "tenants": [{"name": name, "api_keys": [key], "isolated": name in isolated}
                        for name, key in KEYS.items()],
            "routes": [{"name": "kept", "host": HOST, "path_prefix": "/kept/", "kind": "streaming",
                        "timeout_ms": 6000, "target_latency_ms": 800, "target_gap_ms": 500, "priority": 1,
                        "service": "models", "retry_attempts": 1, "resumable": False, "sticky": True,
                        "public": False}],
            "services": [{"name": "models", "health_check_path": "/health", "connection_limit": 300,
                          "engine": {"slots": 16, "kv_capacity_tokens": 90000, "kv_token_bytes": 18432}}]}


class Clients:
    def __init__(self, case):
        self.case, self.sent = case, {}  # `sent`: tenant and time of each request, by id.

    async def ask(self, tenant, subject):
        id_ = f"{len(self.sent):04x}{tenant.encode().hex()}"
        prompt = f"{0x5c1e0000 + subject:x}:800,{0x91bd0000 + subject:x}:400,{0xe4400000 + len(self.sent):x}:250"
        self.sent[id_] = (tenant, time.monotonic())
        reader, writer = await asyncio.open_connection(*self.case.routers[subject % 2].address)
        writer.write((f"POST /kept/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id_}\r\nX-Model: {MODEL}\r\n"
                      f"X-Token-Usage: 1450,20\r\nX-Prompt-Prefix: {prompt}\r\nX-Deadline-Ms: 6000\r\n"
                      f"Authorization: Token {KEYS[tenant]}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").encode())
        async with asyncio.timeout(8):
            answer = await reader.read(-1)
        writer.transport.abort()
        status = int(answer.split()[1]) if answer else 0
        self.case.record(f"client of {tenant} sent id={id_} prompt={prompt}: {status}, {len(answer)} bytes")
        if status != 200:
            raise CannotRun(f"request {id_} got {status}")


async def story(case):
    case.store.put("op", "config", config_of(1, set()))
    engine = ModelEngine("m0", "models", case.store, case.record, [MODEL])
    await case.start_engines([engine])
    await case.start_routers(2)
    clients = Clients(case)
    for subject in range(SUBJECTS):
        await clients.ask("registry", subject)
    isolated = set()
    if TROUBLE:
        case.store.put("op", "config", config_of(2, {"registry"}))
        case.record("the store acknowledged configuration 2, in which registry is isolated")
        isolated = {"registry"}
    in_force = time.monotonic() + CONFIG_APPLY_S
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    for subject in range(SUBJECTS):
        await clients.ask("registry", SUBJECTS + subject)  # Shows that the change is in force.
        await clients.ask("visitors", subject)
    broken = []
    for use in engine.uses:
        (user, sent), (maker, _) = clients.sent[use.user], clients.sent[use.maker]
        if user != maker and {user, maker} & isolated and sent > in_force:
            broken.append(f"WALL: {use.user} of {user} used part {use.part}, made by {use.maker} of {maker}, under "
                          f"salt {use.salt}")
    return broken


play(FOLDER, story)
