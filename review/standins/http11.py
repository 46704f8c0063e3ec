"""Small HTTP/1.1 helpers over asyncio streams, shared by the stand-ins."""
import asyncio


class Message:
    """Head and body of a request or a response."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; None if the connection ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_request(reader):
    """Reads a request whose body has a length or comes in chunks."""
    message = await read_head(reader)
    if message is None:
        return None
    if "chunked" in message.get("transfer-encoding"):
        message.body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        message.body = await reader.readexactly(int(message.get("content-length", "0")))
    return message


async def read_chunks(reader):
    """Yields the chunks of a body; raises if the body ends before its last chunk."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


def response(status, reason, body=b"", headers=()):
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode() + body


async def call(host, port, method, path, body=b"", headers=(), timeout=5.0):
    """Makes one call on a connection of its own; returns (status, body)."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, host)
            for name, value in headers:
                head += "%s: %s\r\n" % (name, value)
            head += "Content-Length: %d\r\nConnection: close\r\n\r\n" % len(body)
            writer.write(head.encode() + body)
            await writer.drain()
            message = await read_head(reader)
            length = int(message.get("content-length", "0"))
            return int(message.start.split(" ")[1]), await reader.readexactly(length)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)
