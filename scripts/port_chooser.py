"""Chooses loopback ports for systems that tests and demonstrations start.

A port that is free now may be taken before its process listens on it, or while the process
restarts. So each port is locked for as long as its chooser exists, and no other chooser on the
machine hands it out.
"""

import fcntl
import os
import pathlib
import random
import socket
import tempfile

ADDRESS = "127.0.0.1"
# Below the kernel's range for outgoing connections, so that none of them takes such a port.
PORTS = range(12000, 31000)
LOCKS = pathlib.Path(tempfile.gettempdir()) / "ferryroad-ports"
TIME_WAIT = "06"  # State in /proc/net/tcp; it doesn't prevent listening.
KINDS = (("tcp", socket.SOCK_STREAM), ("udp", socket.SOCK_DGRAM))


class NoFreePort(Exception):
    """All ports of the range are in use."""


def is_free(port):
    """Returns whether the port can be bound now, by TCP and by UDP."""
    for _, kind in KINDS:
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                return False
    return True


class PortChooser:
    """Hands out each port once. `close` or the end of the process releases the locks."""

    def __init__(self, ports=PORTS, locks=LOCKS):
        self.untried = list(ports)
        random.shuffle(self.untried)
        self.locks, self.held, self.reserved = locks, [], []
        locks.mkdir(exist_ok=True)

    def reserve(self, count):
        """Locks `count` ports now, which the next calls of `port` return."""
        self.reserved += [self._draw() for _ in range(count)]

    def port(self):
        """Returns a locked port that was free by TCP and UDP and that no other chooser holds."""
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
    """Returns one line per socket that uses the port now, to report why a start failed."""
    found = []
    for name, _ in KINDS:
        for line in pathlib.Path(f"/proc/net/{name}").read_text(encoding="ascii").splitlines()[1:]:
            fields = line.split()
            local_port, in_time_wait = int(fields[1].rpartition(":")[2], 16), fields[3] == TIME_WAIT
            if local_port == port and not in_time_wait:
                found.append(f"{name} {port} state {fields[3]}: {_owner(fields[9])}")
    return found


def _owner(inode):
    """Describes the process that has the socket open, if /proc shows it to this user."""
    for link in pathlib.Path("/proc").glob("[0-9]*/fd/*"):
        try:
            if os.readlink(link) == f"socket:[{inode}]":
                process = link.parent.parent
                command = (process / "cmdline").read_bytes().replace(b"\0", b" ").decode()
                return f"process {process.name}, {command.strip()}"
        except OSError:
            continue
    return "no process that can be seen"
