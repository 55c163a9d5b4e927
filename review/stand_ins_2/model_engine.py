"""A sound stand-in of a model engine: streams, KV cache by salt, events and reports (PROTOCOL.md).

It keeps who made each part of a prompt, so that a case can judge what a later request used.
"""

import asyncio
import dataclasses
import time

from engine import Engine

EVENTS = 6
EVENT_GAP_S = 0.02


@dataclasses.dataclass(frozen=True)
class Use:
    """Request `user` ran on the memory of `part`, which request `maker` made under the same salt."""
    user: str
    maker: str
    part: str
    salt: str


class ModelEngine(Engine):
    def __init__(self, name, service, store, record, model, **more):
        super().__init__(name, service, store, record, **more)
        self.model, self.version = model, 1
        self.kept, self.uses, self.events, self.epoch = {}, [], [], 1
        self.news = asyncio.Event()
        self.heads = {}  # Headers of the requests that ran, by id.

    def beat(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 16, "state": self.state, "cold_remaining_ms": 0, "stage": "both",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "sequence": self.sequence})

    async def handle(self, request, writer):
        path = request.target.partition("?")[0]
        json_type = {"Content-Type": "application/json"}
        if path == "/-/report":
            body = ('{"stage":"both","models":[{"name":"%s","version":%d,"adapters":[]}],"busy":false,"sequence":0,'
                    '"queued":0,"running":0,"kv_used":0,"kv_total":90000,"capabilities":0}' % (self.model, self.version))
            return await self.send(writer, 200, json_type, body.encode())
        if path == "/-/kv-events":
            return await self.send(writer, 200, json_type, await self._events_since(request))
        if path == "/-/kv-list":
            held = ",".join('["%s","%s",%d,"%s"]' % (salt, parts[-1], tokens, self.model)
                            for (salt, parts), (_, tokens) in self.kept.items())
            body = '{"boot_epoch":%d,"next_page_token":%d,"held":[%s]}' % (self.epoch, len(self.events), held)
            return await self.send(writer, 200, json_type, body.encode())
        if request.headers.get("x-model") != self.model:
            return await super().handle(request, writer)
        return await self._stream(request, writer)

    async def _events_since(self, request):
        since = int(request.target.partition("since=")[2] or 0)
        end = time.monotonic() + int(request.headers.get("wait-ms", 0)) / 1000
        while len(self.events) <= since and time.monotonic() < end:
            await asyncio.sleep(0.02)
        newer = ",".join('[%d,"+","%s","%s",%d,"%s"]' % (n + 1, *self.events[n], self.model)
                         for n in range(min(since, len(self.events)), len(self.events)))
        return ('{"boot_epoch":%d,"next_page_token":%d,"lost":false,"events":[%s]}'
                % (self.epoch, len(self.events), newer)).encode()

    async def _stream(self, request, writer):
        head = request.headers
        id_ = head.get("x-request-id", "")
        marks = {"X-Instance-Id": self.name, "X-Request-Id": id_, "X-Weight-Versions": self.version}
        if head.get("x-expect-instance", self.name) != self.name:
            return await self.send(writer, 421, marks)
        if head.get("x-expect-version", str(self.version)) != str(self.version):
            return await self.send(writer, 421, marks)
        self.ran.append((time.monotonic(), id_))
        self.heads[id_] = head
        self.record(f"engine {self.name} runs {request.method} {request.target} id={id_} "
                    f"tenant={head.get('x-tenant')} salt={head.get('x-cache-salt')}")
        self._read_prompt(id_, head)
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

    def _read_prompt(self, id_, head):
        """Uses what is kept of the prompt under the request's salt, reads the rest, and keeps that."""
        salt, before = head.get("x-cache-salt", ""), ()
        known = True
        for part in filter(None, head.get("x-prompt-prefix", "").split(",")):
            name, _, tokens = part.partition(":")
            before += (name,)
            made = self.kept.get((salt, before)) if known else None
            if made:
                self.uses.append(Use(id_, made[0], name, salt))
                self.record(f"engine {self.name}: request {id_} uses part {name}, made by request {made[0]} "
                            f"under salt {salt!r}")
                continue
            known = False
            self.kept[salt, before] = (id_, int(tokens))
            self.events.append((salt, name, int(tokens)))
