"""Ports of loopback for systems that tests and demonstrations start.

A port that is found free is free for the moment only: its process listens there some time later,
and is down for a while between two starts. So each port that is given out is locked for as long as
its chooser lives, and no other chooser on the machine gives it.
"""

import fcntl
import os
import pathlib
import random
import socket
import tempfile

ADDRESS = "127.0.0.1"
# Below the range that the system gives to outgoing connections, so that none takes one.
PORTS = range(12000, 31000)
LOCKS = pathlib.Path(tempfile.gettempdir()) / "ferryroad-ports"
TIME_WAIT = "06"  # In /proc/net/tcp: it keeps nobody from listening.
KINDS = (("tcp", socket.SOCK_STREAM), ("udp", socket.SOCK_DGRAM))


class NoFreePort(Exception):
    """All ports of the range are taken."""


def is_free(port):
    """Whether nobody listens there now, by TCP or UDP."""
    for _, kind in KINDS:
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                return False
    return True


class PortChooser:
    """Gives each port once. The locks go with `close`, or with the process."""

    def __init__(self, ports=PORTS, locks=LOCKS):
        self.untried = list(ports)
        random.shuffle(self.untried)
        self.locks, self.held, self.reserved = locks, [], []
        locks.mkdir(exist_ok=True)

    def reserve(self, count):
        """Locks so many ports now, for the next calls."""
        self.reserved += [self._draw() for _ in range(count)]

    def port(self):
        """A port that nobody listens at, by TCP or UDP, and that no other chooser holds."""
        return self.reserved.pop() if self.reserved else self._draw()

    def _draw(self):
        while self.untried:
            port = self.untried.pop()
            if self._lock(port) and is_free(port):
                return port
        raise NoFreePort("all ports are taken")

    def address(self):
        return f"{ADDRESS}:{self.port()}"

    def _lock(self, port):
        file = os.open(self.locks / str(port), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o666)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(file)
            return False
        self.held.append(file)
        return True

    def close(self):
        for file in self.held:
            os.close(file)
        self.held.clear()


def holders(port):
    """Who has a socket at the port now: a line each, for the report of a start that failed."""
    found = []
    for name, _ in KINDS:
        for line in pathlib.Path(f"/proc/net/{name}").read_text(encoding="ascii").splitlines()[1:]:
            fields = line.split()
            at, waits_out = int(fields[1].rpartition(":")[2], 16), fields[3] == TIME_WAIT
            if at == port and not waits_out:
                found.append(f"{name} {port} state {fields[3]}: {_owner(fields[9])}")
    return found


def _owner(inode):
    """The process that has the socket open, as far as it may be seen."""
    for link in pathlib.Path("/proc").glob("[0-9]*/fd/*"):
        try:
            if os.readlink(link) == f"socket:[{inode}]":
                process = link.parent.parent
                command = (process / "cmdline").read_bytes().replace(b"\0", b" ").decode()
                return f"process {process.name}, {command.strip()}"
        except OSError:
            continue
    return "no process that can be seen"
