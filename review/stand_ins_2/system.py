"""Starts routers as the deploy file says, with settings of a small deployment, on loopback addresses.

The settings file of each router is `deploy/node.json.template`, filled as DEPLOY.md says.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_LIMIT_S = 20.0
METRICS_PORT = 9464  # Of the deploy file.

BOUNDS = {  # Of the sheet of the smallest deployments.
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_extension_ms": 5000, "revoke_fail_closed": True,
    "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54,
    "recovery_s": 12, "transit_ms": 120, "retry_after_s": 10, "fencing_enforced": True,
    "lease_ms": 3000, "thaw_slack_ms": 300, "version_ms": 8000, "version_fleet_ms": 11000}


def as_text(value):
    """How a value stands in a filled template."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(one) for one in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


class Template:
    """Text with the gaps of DEPLOY.md: values, sections over lists and tables, `{{^a}}`, `{{,}}`."""

    TAG = re.compile(r"\{\{(.*?)\}\}", re.S)

    def __init__(self, text):
        self.parts = self.TAG.split(text)  # Text and tags in turn.

    def fill(self, fields):
        return self._fill(0, None, [fields], {})[0]

    @staticmethod
    def _find(name, scopes):
        name = name.removesuffix("|json")
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for step in name.split("."):
                if isinstance(value, dict):
                    value = value.get(step)
                elif isinstance(value, list) and step.isdigit() and int(step) < len(value):
                    value = value[int(step)]
                else:
                    value = None
            if value is not None:
                return value
        return None

    def _fill(self, at, until, scopes, marks):
        """Returns the text up to the tag `until`, and the position behind it."""
        out = []
        while at < len(self.parts):
            out.append(self.parts[at])
            if at + 1 >= len(self.parts):
                return "".join(out), at + 1
            tag = self.parts[at + 1]
            at += 2
            if tag == until:
                return "".join(out), at
            if tag[0] in "#^":
                name, behind = tag[1:], at
                value = self._find(name, scopes)
                rounds = self._rounds(value) if tag[0] == "#" else [(value, {})] * (not value)
                for entry, its_marks in rounds:
                    text, behind = self._fill(at, "/" + name, scopes + [entry], its_marks)
                    out.append(text)
                if not rounds:
                    behind = self._fill(at, "/" + name, scopes, {})[1]
                at = behind
            elif tag in ("@", ","):
                out.append(marks.get(tag, ""))
            else:
                value = self._find(tag, scopes)
                out.append(json.dumps(value) if tag.endswith("|json") else as_text(value))
        return "".join(out), at

    @staticmethod
    def _rounds(value):
        if value is None or value is False:
            return []
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = [(str(n), one) for n, one in enumerate(value)]
        else:
            return [(value, {})]
        return [(one, {"@": name, ",": "" if n + 1 == len(entries) else ","})
                for n, (name, one) in enumerate(entries)]


def free_ports(address, count):
    """Returns different ports that are free for TCP and UDP, below those that the kernel gives to connections."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


def free_addresses(count, port):
    """Returns loopback addresses on which the port, which the deploy file sets, is free."""
    while True:
        block = random.randrange(20, 250)
        addresses = [f"127.0.{block}.{number}" for number in range(1, count + 1)]
        try:
            for one in addresses:
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                    probe.bind((one, port))
            return addresses
        except OSError:
            continue


class Router:
    """One front machine: its address, its settings file and its process."""

    def __init__(self, number, ip, store, folder, zone="zone-a", bounds=None, zones=("zone-a",)):
        self.number, self.ip, self.process, self.code = number, ip, None, None
        self.name = f"front-{zone}-{number}"
        self.front, self.ready, self.peer, self.forward = free_ports(self.ip, 4)
        self.file, self.log = folder / f"{self.name}.json", folder / f"{self.name}.log"
        self.fields = {
            "node_name": self.name, "role": "router", "machine_class": "front", "serves": ["front"],
            "ip": self.ip, "zone": zone, "region": "region-a",
            "internal_ports": [self.peer, self.forward], "bootstrap": True, "discovery": "platform",
            "entry": "virtual_ip", "heartbeat_interval_ms": 1200,
            "zones": {one: "region-a" for one in zones},
            "listen": {"front": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready}"},
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "file_descriptors": 4100,
                       "link_mbps": 1000.0},
            "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": store, "form": "table"}}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        self.template = Template((ROOT / role["template"]).read_text())
        self.command = [Template(word).fill(self.fields) for word in shlex.split(role["run"])]
        self.write_settings()

    @property
    def address(self):
        return self.ip, self.front

    def write_settings(self):
        self.file.write_text(self.template.fill(self.fields))

    def start(self):
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**variables, "FERRYROAD_CONFIG": str(self.file)})

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.code = self.process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def until_ready(self):
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False
