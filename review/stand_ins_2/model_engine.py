"""A sound stand-in of a model engine: streams, KV cache by salt, events, reports, orders (PROTOCOL.md).

It keeps who made each part of a prompt, so that a case can judge what a later request used.
"""

import asyncio
import dataclasses
import json
import time

from engine import Engine

EVENTS = 6
EVENT_GAP_S = 0.02
LOAD_S = 0.6


@dataclasses.dataclass(frozen=True)
class Use:
    """Request `user` ran on the memory of `part`, which request `maker` made under the same salt."""
    user: str
    maker: str
    part: str
    salt: str


class ModelEngine(Engine):
    """`models`: names of the models that the engine has, each at version 1 at first."""

    def __init__(self, name, service, store, record, models, **more):
        super().__init__(name, service, store, record, **more)
        self.versions, self.orders, self.fence, self.busy = dict.fromkeys(models, 1), 0, 0, False
        self.checks_fences, self.arrived = True, []  # `arrived`: (time, holder, token) of each order.
        self.kept, self.uses, self.events, self.epoch = {}, [], [], 1
        self.news = asyncio.Event()
        self.heads = {}  # Headers of the requests that ran, by id.

    def _models(self):
        return [{"name": name, "version": version, "adapters": []} for name, version in self.versions.items()]

    def beat(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.listed_address or self.address, "zone": self.zone, "version": "v1",
            "slots": 16, "state": self.state, "cold_remaining_ms": 0, "stage": "both",
            "models": self._models(),
            "sequence": self.sequence})

    async def handle(self, request, writer):
        path = request.target.partition("?")[0]
        json_type = {"Content-Type": "application/json"}
        if path == "/-/report":
            body = {"stage": "both", "models": self._models(), "busy": self.busy, "sequence": self.orders,
                    "queued": 0, "running": 0, "kv_used": 0, "kv_total": 90000, "capabilities": 0}
            return await self.send(writer, 200, json_type, json.dumps(body).encode())
        if path == "/-/order":
            return await self.send(writer, self._take_order(json.loads(request.body)), json_type, b"{}")
        if path == "/-/kv-events":
            return await self.send(writer, 200, json_type, await self._events_since(request))
        if path == "/-/kv-list":
            held = [[salt, parts[-1], tokens, model] for (model, salt, parts), (_, tokens) in self.kept.items()]
            body = {"boot_epoch": self.epoch, "next_page_token": len(self.events), "held": held}
            return await self.send(writer, 200, json_type, json.dumps(body).encode())
        if request.headers.get("x-model") not in self.versions:
            return await super().handle(request, writer)
        return await self._stream(request, writer)

    async def _events_since(self, request):
        since = int(request.target.partition("since=")[2] or 0)
        end = time.monotonic() + int(request.headers.get("wait-ms", 0)) / 1000
        while len(self.events) <= since and time.monotonic() < end:
            await asyncio.sleep(0.02)
        newer = [[n + 1, *self.events[n]] for n in range(min(since, len(self.events)), len(self.events))]
        return json.dumps({"boot_epoch": self.epoch, "next_page_token": len(self.events), "lost": False,
                           "events": newer}).encode()

    def _take_order(self, order):
        """Returns the status of the answer to an order. One that is taken is carried out by a task."""
        model, version = order.get("model"), order.get("version")
        self.arrived.append((time.monotonic(), order.get("holder"), order.get("fencing_token")))
        if order.get("operation") != "version" or "holder" not in order or "fencing_token" not in order \
                or model not in self.versions:
            status = 400
        elif self.checks_fences and order["fencing_token"] < self.fence:
            status = 412
        elif self.busy or order.get("expected_revision", self.orders) != self.orders:
            status = 409
        elif self.versions[model] >= version:
            status = 200
        else:
            status, self.busy = 202, True
            self.fence, self.orders = order["fencing_token"], self.orders + 1
            self.tasks.append(asyncio.create_task(self._load(model, version)))
        self.record(f"engine {self.name}: order of {order.get('holder')} with token {order.get('fencing_token')}, "
                    f"{model} version {version}: {status}")
        return status

    async def _load(self, model, version):
        await asyncio.sleep(LOAD_S)
        self.versions[model], self.busy = version, False
        for key in [one for one in self.kept if one[0] == model]:
            _, salt, parts = key
            self.events.append(("-", salt, parts[-1], self.kept.pop(key)[1], model))
        self.record(f"engine {self.name} has {model} version {version}")
        self.beat()

    async def _stream(self, request, writer):
        head = request.headers
        id_ = head.get("x-request-id", "")
        model = head["x-model"]
        version = self.versions[model]
        marks = {"X-Instance-Id": self.name, "X-Request-Id": id_, "X-Weight-Versions": version}
        if head.get("x-expect-instance", self.name) != self.name:
            return await self.send(writer, 421, marks)
        if head.get("x-expect-version", str(version)) != str(version):
            return await self.send(writer, 421, marks)
        self.ran.append((time.monotonic(), id_))
        self.heads[id_] = head
        self.record(f"engine {self.name} runs {request.method} {request.target} id={id_} "
                    f"model={model}/{version} tenant={head.get('x-tenant')} salt={head.get('x-cache-salt')}")
        self._read_prompt(id_, model, head)
        await asyncio.sleep(self.work_s)
        marks |= {"X-Response-Signature": f"{self.name}.{id_}", "Content-Type": "text/event-stream",
                  "Transfer-Encoding": "chunked"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in marks.items()) + "\r\n").encode())
        for number in range(int(head.get("last-event-id", 0)) + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {id_} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _read_prompt(self, id_, model, head):
        """Uses what is kept of the prompt under the request's salt, reads the rest, and keeps that."""
        salt, before = head.get("x-cache-salt", ""), ()
        known = True
        for part in filter(None, head.get("x-prompt-prefix", "").split(",")):
            name, _, tokens = part.partition(":")
            before += (name,)
            made = self.kept.get((model, salt, before)) if known else None
            if made:
                self.uses.append(Use(id_, made[0], name, salt))
                self.record(f"engine {self.name}: request {id_} uses part {name}, made by request {made[0]} "
                            f"under salt {salt!r}")
                continue
            known = False
            self.kept[model, salt, before] = (id_, int(tokens))
            self.events.append(("+", salt, name, int(tokens), model))
