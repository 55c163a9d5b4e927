"""Links between routers and an engine: a TCP proxy in front of the engine, in which the link of one router
can be cut without a word.

What a router sends on a cut link is held up, as TCP does it, and arrives with the first repetition after the
link has healed; "bytes that a partition holds up are lost if their sender resets the connection" (DEPLOY.md).
"""

import asyncio
import os
import pathlib
import time

BLOCK = 65536
FIRST_REPETITION_S = 0.2  # Of bytes that are not acknowledged, by Linux; each further one takes twice as long.


def arrival_after(cut_s):
    """Returns how long after its sending a packet arrives, if it was sent as a cut of `cut_s` began."""
    pause = at = FIRST_REPETITION_S
    while at < cut_s:
        pause *= 2
        at += pause
    return at


def owner_of(port, processes):
    """Returns the id of the process, one of those given, that has the local TCP port; None if none has."""
    wanted = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == port:
            wanted.add(f"socket:[{fields[9]}]")
    for process in processes:
        folder = f"/proc/{process}/fd"
        try:
            for name in os.listdir(folder):
                try:
                    if os.readlink(f"{folder}/{name}") in wanted:
                        return process
                except OSError:
                    continue
        except OSError:
            continue
    return None


class Link:
    """`processes`: called for the ids of the routers' processes. `on_bytes(process, bytes)`: called with what a
    router sends, before it is passed on."""

    def __init__(self, engine_address, processes, record, on_bytes=lambda process, block: None):
        self.target, self.processes, self.record, self.on_bytes = engine_address, processes, record, on_bytes
        self.address, self.cut, self.heals, self.arrives = "", None, 0.0, 0.0
        self.tasks = set()

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self._accept, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def cut_off(self, process, for_s):
        """Cuts the link of a router for a time."""
        self.cut, now = process, time.monotonic()
        self.heals, self.arrives = now + for_s, now + arrival_after(for_s)

    def _is_cut(self, process):
        return self.cut is not None and process == self.cut and time.monotonic() < self.heals

    async def _accept(self, reader, writer):
        process = owner_of(writer.get_extra_info("peername")[1], self.processes())
        back = None
        try:
            while True:
                block = await reader.read(BLOCK)
                if not block:
                    return
                self.on_bytes(process, block)
                if self._is_cut(process):
                    block = await self._hold(reader, block)
                    if block is None:
                        return
                if back is None:
                    host, _, port = self.target.rpartition(":")
                    from_engine, back = await asyncio.open_connection(host, int(port))
                    answers = asyncio.create_task(self._answers(from_engine, writer, process))
                    self.tasks.add(answers)
                    answers.add_done_callback(self.tasks.discard)
                back.write(block)
                await back.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            if back is not None:
                asyncio.get_running_loop().call_later(0.5, back.transport.abort)
            writer.transport.abort()

    async def _hold(self, reader, block):
        """Returns the bytes once they arrive, None if the sender reset the connection meanwhile."""
        ended = False
        while (left := self.arrives - time.monotonic()) > 0:
            if ended:
                await asyncio.sleep(left)
                continue
            try:
                more = await asyncio.wait_for(reader.read(BLOCK), left)
            except (asyncio.TimeoutError, TimeoutError):
                continue
            except ConnectionResetError:
                self.record("a router reset a connection whose bytes the cut held up: they are lost")
                return None
            ended = not more
            block += more
        return block

    async def _answers(self, from_engine, writer, process):
        try:
            while block := await from_engine.read(BLOCK):
                if not self._is_cut(process):
                    writer.write(block)
                    await writer.drain()
            if not self._is_cut(process):
                writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
