"""Stand-in of a model engine: reports, orders, cache events and streamed answers of PROTOCOL.md."""

import asyncio
import json
import time
import urllib.parse

from http_server import Server, head_of

HEARTBEAT_S, LOAD_S, FIRST_EVENT_S, EVENT_GAP_S, EVENTS = 1.2, 0.63, 0.03, 0.02, 6
REPORT_LAG_S = 0.2


class ModelEngine(Server):
    """`arrivals`: all orders that arrived, as dictionaries. `named`: versions that the operator has named."""

    def __init__(self, name, service, zone, model, version, store, record, named, fenced):
        super().__init__()
        self.name, self.service, self.zone, self.model, self.version = name, service, zone, model, version
        self.store, self.record, self.named, self.fenced = store, record, named, fenced
        self.sequence = self.orders = self.running = 0
        self.fence, self.busy, self.address = 0, False, ""
        self.arrivals, self.runs, self.tasks = [], [], []
        self.epoch = int(time.time() * 1000)

    async def start(self):
        self.address = await self.listen("127.0.0.1")
        self.tasks.append(asyncio.create_task(self._heartbeats()))

    def _models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def beat(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 64,
            "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence, "stage": "both",
            "models": self._models()})

    async def _heartbeats(self):
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, method, target, headers, body, writer):
        marks = {"X-Instance-Id": self.name, "X-Weight-Versions": self.version}
        if headers.get("x-expect-instance", self.name) != self.name:
            return await self.send(writer, 421, {**marks, "X-Not-Executed": "1"})
        path = urllib.parse.urlsplit(target).path
        if path == "/health":
            return await self.send(writer, 200, marks)
        if path == "/-/report":
            return await self._report(writer)
        if path == "/-/kv-events":
            await asyncio.sleep(min(int(headers.get("wait-ms", 0)), 1000) / 1000)
            return await self._json(writer, 200, {"boot_epoch": self.epoch, "next_page_token": 1, "lost": False,
                                                  "events": []})
        if path == "/-/order":
            return await self._order(json.loads(body), marks, writer)
        return await self._run(headers, marks, writer)

    async def _json(self, writer, status, value):
        await self.send(writer, status, {"Content-Type": "application/json"}, json.dumps(value).encode())

    async def _report(self, writer):
        await self._json(writer, 200, {
            "stage": "both", "models": self._models(), "busy": self.busy, "sequence": self.orders, "queued": 0,
            "running": self.running, "kv_used": 0, "kv_total": 100000, "capabilities": 0})

    async def _order(self, order, marks, writer):
        status = self._decide(order)
        self.arrivals.append({"at": time.monotonic(), "engine": self.name, "holder": order.get("holder"),
                              "token": order.get("fencing_token"), "version": order.get("version"),
                              "answer": status})
        self.record(f"order at {self.name}: holder {order.get('holder')} token {order.get('fencing_token')} "
                    f"version {order.get('version')} -> {status}")
        if status == 202:
            self.busy, self.orders = True, self.orders + 1
            self.tasks.append(asyncio.create_task(self._load(order["version"])))
        await self.send(writer, status, marks)

    def _decide(self, order):
        if not order.get("holder") or "fencing_token" not in order or order.get("operation") != "version":
            return 400
        if order["version"] not in self.named:
            return 400
        if self.fenced and order["fencing_token"] < self.fence:
            return 412
        self.fence = max(self.fence, order["fencing_token"])
        if order["version"] == self.version:
            return 200
        if self.busy or order.get("expected_revision", self.orders) != self.orders:
            return 409
        return 202

    async def _load(self, version):
        await asyncio.sleep(LOAD_S)
        self.version, self.busy = version, False
        self.beat()

    async def _run(self, headers, marks, writer):
        id_ = headers.get("x-request-id", "")
        marks = {**marks, "X-Request-Id": id_}
        if self.busy:
            return await self.send(writer, 503, {**marks, "X-Not-Executed": "1"})
        if "x-expect-version" in headers and int(headers["x-expect-version"]) != self.version:
            return await self.send(writer, 421, {**marks, "X-Not-Executed": "1"})
        self.runs.append((time.monotonic(), id_))
        self.record(f"request {id_} runs at {self.name}")
        self.running += 1
        try:
            signature = f"{self.name}.{id_}"
            await asyncio.sleep(FIRST_EVENT_S)
            writer.write(head_of(200, {**marks, "X-Response-Signature": signature,
                                       "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
            for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
                event = f"id: {number}\ndata: {signature} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
