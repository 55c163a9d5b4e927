"""A sound stand-in of the platform's metadata store: rows, transactions and the feed (PROTOCOL.md)."""

import asyncio
import base64
import json
import time
import urllib.parse

from server import Server


class Store(Server):
    def __init__(self):
        super().__init__()
        self.rows, self.changes, self.version = {}, [], 0
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        self._write([((table, part, key), base64.b64encode(json.dumps(value).encode()).decode())])

    def remove(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self._write([((table, part, key), None)])

    def _write(self, entries):
        self.version += 1
        for name, value in entries:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.changes.append((self.version, name, value))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _row(name, value, version):
        row = {"table": name[0], "part": name[1], "private_key": name[2], "ver": version}
        return {**row, "value": value} if value is not None else {**row, "value": "", "deleted": True}

    async def handle(self, request, writer):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        answer = {"/-/rows-get": self._get, "/-/rows-tx": self._transact, "/-/rows-feed": self._feed,
                  "/-/rows-parts": self._parts}.get(url.path)
        if answer is None:
            return await self.send(writer, 404, {})
        status, fields = await answer(query, request.body)
        text = json.dumps({**fields, "ver": self.version,
                           "now_ms": int(time.monotonic() * 1000)}).encode()
        await asyncio.sleep(0.004)
        return await self.send(writer, status, {"Content-Type": "application/json"}, text)

    async def _get(self, query, _):
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted((name, row) for name, row in self.rows.items()
                       if name[0] == query["table"] and name[1] == query.get("part", "")
                       and name[2].encode() >= query.get("source", "").encode()
                       and ("target_version" not in query or name[2] < query["target_version"]))
        return 200, {"rows": [self._row(name, *row) for name, row in found[:limit]],
                     "has_more": len(found) > limit}

    async def _parts(self, query, _):
        parts = sorted({name[1] for name in self.rows if name[0] == query["table"]})
        return 200, {"parts": [one for one in parts if one > query.get("after", "")][:1000]}

    async def _feed(self, query, _):
        after, end = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000

        def newer():
            last = {name: (version, value) for version, name, value in self.changes
                    if name[0] == query["table"] and version > after}
            return sorted((version, name, value) for name, (version, value) in last.items())
        while not newer() and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.0, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        return 200, {"rows": [self._row(name, value, version) for version, name, value in newer()],
                     "has_more": False}

    async def _transact(self, _, body):
        asked = json.loads(body)
        name = lambda row: (row["table"], row.get("part", ""), row["private_key"])  # noqa: E731
        expected = asked.get("expected_revision", [])
        if any(self.rows.get(name(row), ("", 0))[1] != row["ver"] for row in expected):
            return 412, {"rows": [self._row(name(row), *self.rows[name(row)]) for row in expected
                                  if name(row) in self.rows]}
        self._write([(name(row), row["value"]) for row in asked.get("put", [])]
                    + [(name(row), None) for row in asked.get("remove", [])])
        return 200, {}
