"""Stand-in of the platform's metadata store: rows, transactions and the change feed of PROTOCOL.md."""

import asyncio
import base64
import json
import time
import urllib.parse

from http_server import Server

TX_S, READ_S, HISTORY_S = 0.005, 0.004, 20.0


class Store(Server):
    """Each router calls it at a listener of its own, so that a writer is known by its listener."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows = {}     # (table, part, key) -> (value in base64, version)
        self.changes = []  # (time, version, table, part, key, value in base64 or None if removed)
        self.version, self.dropped_version = 0, 0
        self.changed = asyncio.Event()
        # Called with a conditional write that holds as it arrives, and with each row that it put.
        self.before_condition_write = None
        self.after_condition_write = None

    # Called by the stand-ins themselves (operator and engines).

    def put(self, table, key, value):
        self._write([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())])

    def remove(self, table, key):
        if (table, "", key) in self.rows:
            self._write([(table, "", key, None)])

    def _write(self, entries):
        self.version += 1
        now = time.monotonic()
        for table, part, key, value in entries:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self.changes.append((now, self.version, table, part, key, value))
        while self.changes and self.changes[0][0] < now - HISTORY_S:
            self.dropped_version = self.changes.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        handler = {"/-/rows-get": self._get, "/-/rows-feed": self._feed, "/-/rows-tx": self._transact}[url.path]
        status, rows, more = await handler(query, body, writer)
        text = json.dumps({"rows": rows, "has_more": more, "ver": self.version,
                           "now_ms": int(time.monotonic() * 1000)})
        await self.send(writer, status, {"Content-Type": "application/json"}, text.encode())

    @staticmethod
    def _row(table, part, key, value, version):
        row = {"table": table, "part": part, "private_key": key, "ver": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    async def _get(self, query, _body, _writer):
        await asyncio.sleep(READ_S)
        limit, part = min(int(query.get("limit", 500)), 500), query.get("part", "")
        found = sorted((key, row) for (table, of, key), row in self.rows.items()
                       if table == query["table"] and of == part and key >= query.get("source", "")
                       and ("target_version" not in query or key < query["target_version"]))
        return 200, [self._row(query["table"], part, key, *row) for key, row in found[:limit]], len(found) > limit

    async def _feed(self, query, _body, _writer):
        await asyncio.sleep(READ_S)
        after, until = int(query["after"]), time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000

        def newest():
            last = {(part, key): (version, value) for _, version, table, part, key, value in self.changes
                    if table == query["table"] and version > after}
            return sorted((version, *name, value) for name, (version, value) in last.items())
        while not newest() and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if after < self.dropped_version:
            return 410, [], False
        return 200, [self._row(query["table"], part, key, value, version)
                     for version, part, key, value in newest()], False

    async def _transact(self, _query, body, writer):
        asked = json.loads(body)
        name = lambda row: (row["table"], row.get("part", ""), row["private_key"])  # noqa: E731
        expected = asked.get("expected_revision", [])

        def differing():
            return [row for row in expected if self.rows.get(name(row), ("", 0))[1] != row["ver"]]
        if expected and not differing() and self.before_condition_write is not None:
            self.before_condition_write(writer.port_key, asked)
        await asyncio.sleep(TX_S)
        if differing():
            self.record(f"the store refuses a write of {writer.port_key}: {[name(row)[2] for row in differing()]} "
                        "changed meanwhile")
            return 412, [self._row(*name(row), *self.rows.get(name(row), (None, 0))) for row in expected], False
        puts = [(*name(row), row["value"]) for row in asked.get("put", [])]
        self._write(puts + [(*name(row), None) for row in asked.get("remove", [])])
        if expected and self.after_condition_write is not None:
            for table, _, key, value in puts:
                self.after_condition_write(writer.port_key, table, key, base64.b64decode(value))
        return 200, [], False
