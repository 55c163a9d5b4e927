"""Real routers, started as the deploy file says, with the stand-ins of the platform, on loopback."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "ferryroad-platform"
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "region-1"
# The bounds of a small deployment (SYSTEM.md).
BOUNDS = {"keys_need_confirmation": True, "key_revocation_ms": 5000, "engine_leaving_ms": 2000,
          "change_in_force_ms": 2000, "lease_turn_ms": 3000, "outdated_weights_ms": 8000,
          "retry_share": 0.2, "retry_reserve": 54, "stop_grace_ms": 8000, "link_megabits": 1000.0}
CONTACT_S, LEASE_S, THAW_SLACK_S, GRACE_S = 3.0, 3.0, 0.3, 8.0
RESTART_S = 0.5  # Until the platform starts an ended process again.


class CannotRun(Exception):
    """The case can't run here."""


class Record:
    """Writes what happened into a file, with seconds since its start."""

    def __init__(self, path):
        self.file, self.start = open(path, "w", encoding="utf-8"), time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()

    def at(self, moment):
        return f"{moment - self.start:.3f}"


class Ports:
    """Free ports. The sockets that found them are closed just before the routers start."""

    def __init__(self):
        self.held = []

    def take(self, kind=socket.SOCK_STREAM):
        while True:
            tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                tcp.close()
                udp.close()
                continue
            self.held += [tcp, udp]
            return port

    def release(self):
        for one in self.held:
            one.close()
        self.held = []


class Router:
    """One process of the role `router`. The platform starts it again when it has ended."""

    def __init__(self, name, zone, store_address, folder, ports, record):
        self.name, self.record, self.process, self.wanted = name, record, None, False
        address = lambda: f"127.0.0.1:{ports.take()}"  # noqa: E731
        self.caller, self.ready, self.metrics = address(), address(), address()
        self.settings, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.settings.write_text(json.dumps({
            "zone": zone, "zones": [f"{one}={REGION}" for one in ZONES], **BOUNDS, "caller_listen": self.caller,
            "ready_listen": self.ready, "store": store_address, "peer_listen": address(),
            "forward_listen": address(), "name": name}), encoding="utf-8")
        # When its process was disturbed: (start, end), None while it lasts.
        self.disturbed = []

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [str(PROGRAM), "--metrics-listen", self.metrics], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, env={"PATH": os.environ["PATH"], "FERRYROAD_CONFIG": str(self.settings)})
        self.wanted = True

    def send(self, number):
        self.record(f"{signal.Signals(number).name} to {self.name}")
        if number == signal.SIGCONT:
            self.disturbed[-1][1] = time.monotonic()
        else:
            self.disturbed.append([time.monotonic(), None])
        if self.process.poll() is None:
            self.process.send_signal(number)

    def in_touch(self, moment):
        """Whether the process ran undisturbed throughout the `CONTACT_S` up to the moment."""
        return not any(start <= moment and (end is None or end > moment - CONTACT_S)
                       for start, end in self.disturbed)

    def log_lines(self, text):
        return [line for line in self.log.read_text(errors="replace").splitlines() if text in line]


async def http(address, head, limit, body=b""):
    """Sends one request. Returns the status, or None, and all bytes after the status line."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            await writer.drain()
            line = await reader.readline()
            return int(line.split()[1]), await reader.read()
    except (OSError, TimeoutError, IndexError, ValueError):
        return None, b""
    finally:
        if writer is not None:
            writer.transport.abort()


async def is_ready(router):
    status, _ = await http(router.ready, "GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 0.9)
    return status == 200


class System:
    """The routers and their temporary folder."""

    def __init__(self, record):
        if not PROGRAM.exists():
            raise CannotRun("target/bin/ferryroad-platform isn't built: run scripts/build-platform")
        self.record, self.routers, self.ports = record, [], Ports()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ferryroad-review-"))
        self.watching = None

    async def add_router(self, name, zone, store):
        address = await store.listen("127.0.0.1", port_key=name)
        self.routers.append(Router(name, zone, address, self.folder, self.ports, self.record))

    async def start(self, limit=30):
        self.ports.release()
        for one in self.routers:
            one.start()
        until = time.monotonic() + limit
        while not all([await is_ready(one) for one in self.routers]):
            if time.monotonic() > until:
                raise CannotRun("the routers did not become ready")
            await asyncio.sleep(0.1)
        self.watching = asyncio.create_task(self._restart_ended())

    async def _restart_ended(self):
        while True:
            await asyncio.sleep(0.05)
            for one in self.routers:
                if one.wanted and one.process.poll() is not None:
                    self.record(f"{one.name} ended with code {one.process.returncode}")
                    await asyncio.sleep(RESTART_S)
                    one.start()

    def router(self, name):
        return next(one for one in self.routers if one.name == name)

    def end(self, keep_logs_in=None):
        """Ends all processes and removes the folder."""
        if self.watching is not None:
            self.watching.cancel()
        for one in self.routers:
            one.wanted = False
            if one.process is not None and one.process.poll() is None:
                one.process.send_signal(signal.SIGCONT)
                one.process.kill()
                one.process.wait()
        if keep_logs_in:
            for one in self.routers:
                if one.log.exists():
                    shutil.copy(one.log, keep_logs_in)
        shutil.rmtree(self.folder, ignore_errors=True)
