"""A sound stand-in of an application's engine (PROTOCOL.md, "Engines" and "Service discovery")."""

import asyncio
import time

from server import Cut, Server

HEARTBEAT_S = 1.2


class Engine(Server):
    """`record` gets a line for each request that it begins to run. `work_s` is how long a run takes."""

    def __init__(self, name, service, store, record, work_s=0.06, zone="zone-a"):
        super().__init__()
        self.first_name, self.service, self.store, self.record = name, service, store, record
        self.work_s, self.zone, self.starts, self.sequence = work_s, zone, 0, 0
        self.name, self.up, self.state, self.ran = name, False, "ready", []
        self.tasks, self.listed_address = [], None  # Listed, if not its own: that of its link.

    async def begin(self):
        """Starts a new incarnation under a new id, at the same address after the first time."""
        self.starts += 1
        self.name = f"i-{self.first_name}-{self.starts}"
        ip, _, port = self.address.rpartition(":")
        await self.start(*((ip, int(port)) if ip else ()))
        self.up = True
        self.beat()

    def crash(self):
        self.up = False
        self.end()
        self.tasks.append(asyncio.create_task(self._lapse(self.name)))

    async def _lapse(self, name):
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove("servers", name)

    def beat(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.listed_address or self.address, "zone": self.zone, "version": "v1",
            "slots": 6, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence})

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up:
                self.beat()

    async def handle(self, request, writer):
        id_ = request.headers.get("x-request-id", "")
        marks = {"X-Instance-Id": self.name, **({"X-Request-Id": id_} if id_ else {})}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return await self.send(writer, 421, marks)
        if request.target == "/health":
            return await self.send(writer, 200, marks)
        if not id_:
            return await self.send(writer, 400, {**marks, "X-Not-Executed": "1"})
        self.ran.append((time.monotonic(), id_))
        self.record(f"engine {self.name} runs {request.method} {request.target} id={id_} "
                    f"body={request.body[:60]!r}")
        name = self.name
        await asyncio.sleep(self.work_s)
        if not self.up or self.name != name:
            raise Cut
        body = f"answer to {id_} by {self.name}".encode() * 20
        marks["X-Response-Signature"] = f"{self.name}.{id_}"
        return await self.send(writer, 200, marks, body)
