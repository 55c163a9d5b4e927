"""A small HTTP/1.1 server for the stand-ins: one request at a time on a connection."""

import asyncio

REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Cut(Exception):
    """Resets the connection without a further byte."""


def head_of(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    return ("\r\n".join(lines + [f"{name}: {value}" for name, value in headers.items()]) + "\r\n\r\n").encode()


class Server:
    """Subclasses answer requests in `handle`. `port_key` tells by which listener a request came."""

    def __init__(self):
        self.servers, self.connections = [], set()

    async def listen(self, host, port=0, port_key=None):
        """Returns the address as HOST:PORT."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, port_key), host, port, limit=1 << 22)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def close(self):
        for server in self.servers:
            server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer, port_key):
        self.connections.add(writer)
        try:
            while True:
                first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {name.lower(): value.strip() for name, _, value in
                           (line.partition(":") for line in lines if line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ")
                writer.port_key, writer.gone = port_key, reader.at_eof
                await self.handle(method, target, headers, body, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, Cut, RuntimeError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError

    @staticmethod
    async def send(writer, status, headers, body=b""):
        writer.write(head_of(status, {**headers, "Content-Length": len(body)}) + body)
        await writer.drain()
