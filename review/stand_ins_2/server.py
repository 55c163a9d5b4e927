"""A small HTTP/1.1 server for stand-ins."""

import asyncio
import dataclasses

REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


@dataclasses.dataclass(frozen=True)
class Request:
    method: str
    target: str
    headers: dict  # Names in lower case.
    body: bytes


class Cut(Exception):
    """Ends the connection without a further byte."""


def head_of(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


class Server:
    """Answers one request at a time on each connection. Subclasses answer in `handle`."""

    def __init__(self):
        self.server, self.address, self.writers = None, "", set()

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def end(self):
        """Ends as a killed process does: stops to listen, and all connections are reset."""
        self.server.close()
        for one in list(self.writers):
            one.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {name.lower(): value.strip()
                           for name, _, value in (one.partition(":") for one in lines if one)}
                method, target, _ = first.split(" ")
                await self.handle(Request(method, target, headers, await read_body(reader, headers)), writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, Cut):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, request, writer):
        raise NotImplementedError

    @staticmethod
    async def send(writer, status, headers, body=b""):
        writer.write(head_of(status, {**headers, "Content-Length": len(body)}) + body)
        await writer.drain()
