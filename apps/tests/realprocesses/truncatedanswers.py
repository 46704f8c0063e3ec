"""Workers that answer a long upload before they have read it, against one real entry: the
gateway's program on loopback addresses, with the store of review/standins.

A broken worker sends a part of an answer without a length and then ends or resets the
connection, or sends a malformed head. Fails if a caller receives a part as a whole answer or
a byte of a malformed one, if a request that must run once is sent twice, if one that may be
repeated is not answered by the sound worker, if a sound answer is refused, or if the entry
does not count and log what it has refused."""
import argparse
import asyncio
import collections
import json
import os
import random
import socket
import struct
import sys
import time

from malformedanswers import Checks
from plannedwork import Fleet, LIMITS, route

EVENTS = 30
PART = b"part-of-it"
WHOLE = b"sound and whole"
OK = b"HTTP/1.1 200 OK\r\n"
NO_LINGER = struct.pack("ii", 1, 0)

# How a broken worker ends: whether it ends its sending direction first, how much of the upload
# it reads, and whether it resets the connection or closes it with the rest of the upload unread.
Ending = collections.namedtuple("Ending", "ends_sending reads resets")
ENDINGS = {
    "end, then reset": Ending(True, 0, True),
    "reset": Ending(False, 0, True),
    "64 KiB read, end, then reset": Ending(True, 65536, True),
    "64 KiB read, reset": Ending(False, 65536, True),
    "closed unread": Ending(False, 0, False),
}
# Status lines of answers that break off.
STATUSES = {"200": OK, "404": b"HTTP/1.1 404 Not Found\r\n", "500": b"HTTP/1.1 500 Error\r\n"}
MALFORMED = {
    "status 000": b"HTTP/1.1 000 OK\r\n",
    "blank in a name": OK + b"X Y: z\r\n",
    "control byte in a name": OK + b"X\x01Y: z\r\n",
}


def event(number):
    return b"id: %d\ndata: %d\n\n" % (number, number)


class Worker:
    """Answers as `answer` says: a coroutine that takes the socket and the request."""

    def __init__(self, fleet, loop):
        self.fleet, self.loop = fleet, loop
        self.answer = answer_whole
        self.requests = collections.Counter()
        self.tasks = set()

    async def start(self, name, service):
        ip = self.fleet.new_ip()
        listener = socket.socket()
        listener.setblocking(False)
        listener.bind((ip, 0))
        listener.listen(64)
        self.keep(self.accept(listener))
        self.fleet.store.put("servers/" + name, json.dumps({
            "service": service, "address": "%s:%d" % listener.getsockname(), "zone": "zone-a",
            "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
            "sequence": 0, "born": int(time.time() * 1000)}).encode())

    def keep(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def accept(self, listener):
        while True:
            connection, _ = await self.loop.sock_accept(listener)
            connection.setblocking(False)
            self.keep(self.serve(connection))

    async def serve(self, connection):
        try:
            received = b""
            while b"\r\n\r\n" not in received:
                bytes_read = await self.loop.sock_recv(connection, 512)
                if not bytes_read:
                    return
                received += bytes_read
            head, body = received.split(b"\r\n\r\n", 1)
            lines = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
            request = Request(head.decode().split()[1], lines, len(body))
            self.requests[request.attempt] += 1
            await self.answer(self.loop, connection, request)
        except OSError:
            pass
        finally:
            connection.close()


class Request:
    def __init__(self, path, lines, body_read):
        self.path, self.attempt = path, lines["Attempt-Id"]
        self.unread = int(lines.get("Content-Length", 0)) - body_read
        self.last_event = int(lines.get("Last-Event-Id", 0))
        self.is_stream = path.startswith("/gen")

    async def read(self, loop, connection, most):
        left = min(most, self.unread)
        while left > 0:
            n = len(await loop.sock_recv(connection, min(left, 65536)))
            if n == 0:
                raise OSError("the request is cut")
            left, self.unread = left - n, self.unread - n

    def head(self, begin):
        kind = b"text/event-stream" if self.is_stream else b"text/plain"
        return begin + b"Attempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: %s\r\n" % (
            self.attempt.encode(), kind)

    def body(self, events):
        if not self.is_stream:
            return WHOLE
        return b"".join(event(n) for n in range(self.last_event + 1, events + 1))


async def answer_whole(loop, connection, request):
    """Reads the whole upload, and ends the answer with the connection."""
    await request.read(loop, connection, request.unread)
    await loop.sock_sendall(connection, request.head(OK) + b"\r\n" + request.body(EVENTS))


async def answer_early(loop, connection, request):
    """Answers before the upload is read, with a length or in chunks, and reads it later."""
    body = request.body(EVENTS)
    if request.is_stream:
        framed = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        framed = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    await loop.sock_sendall(connection, request.head(OK) + b"Connection: close\r\n" + framed)
    await asyncio.sleep(0.05)


def break_off(begin, ending, chance):
    """Returns an answer that sends a part and ends as given."""
    async def answer(loop, connection, request):
        part = request.body(chance.randint(1, EVENTS - 1)) if request.is_stream else PART
        await request.read(loop, connection, ending.reads)
        await loop.sock_sendall(connection, request.head(begin) + b"\r\n" + part)
        await asyncio.sleep(0.02)
        if ending.ends_sending:
            connection.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.3)
        if ending.resets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    return answer


def malformed(begin):
    async def answer(loop, connection, request):
        await loop.sock_sendall(connection, request.head(begin) + b"\r\n" + PART)
        await asyncio.sleep(0.02)
        connection.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.1)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    return answer


class Reply:
    """What one caller received until its connection ended."""

    def __init__(self, attempt, text):
        self.attempt, self.text = attempt, text
        head, _, self.body = text.partition(b"\r\n\r\n")
        self.status = int(head.split()[1]) if head else 0
        self.is_chunked = b"chunked" in head
        self.ended = not self.is_chunked or self.body.endswith(b"0\r\n\r\n")

    def events(self):
        return [int(line[4:]) for line in self.body.split(b"\n") if line.startswith(b"id: ")]

    def is_whole(self, path):
        if self.status != 200 or not self.ended:
            return False
        if path.startswith("/gen"):
            return self.events() == list(range(1, EVENTS + 1))
        return self.body == WHOLE

    def is_refused(self):
        """502, or a stream that ends visibly before its last chunk."""
        if self.status == 502:
            return PART not in self.text
        events = self.events()
        return self.is_chunked and not self.ended and events == list(range(1, len(events) + 1))


async def ask(entry, path, size):
    attempt = "%016x" % random.getrandbits(64)
    method = "PUT" if path.startswith("/read") else "POST"
    reader, writer = await asyncio.open_connection(entry.ip, entry.ports[0])
    writer.write(("%s %s HTTP/1.1\r\nHost: depot.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000"
                  "\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % (
                      method, path, attempt, size)).encode() + b"x" * size)
    text = b""
    try:
        text = await asyncio.wait_for(reader.read(), 8)
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()
    return Reply(attempt, text)


async def counted(entry, port, name):
    reader, writer = await asyncio.open_connection(entry.ip, port)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    text = (await asyncio.wait_for(reader.read(), 5)).decode()
    writer.close()
    return sum(float(line.split()[1]) for line in text.splitlines()
               if line.startswith("samphiresail_%s_total " % name))


async def broken_lines(entry, most):
    """Returns the log's lines on answers that broke off, once there are as many as given or a
    second has passed: the entry writes them in batches."""
    for _ in range(20):
        with open(entry.log.name) as log:
            lines = [json.loads(line) for line in log
                     if line.endswith("\n") and '"attempt broke off"' in line]
        if len(lines) >= most:
            break
        await asyncio.sleep(0.05)
    return lines


class Play:
    def __init__(self, entry, odd, checks, chance):
        self.entry, self.odd, self.checks, self.chance = entry, odd, checks, chance

    async def broken(self, what, path, size):
        """Asks once; the odd worker answers as it is set."""
        reply = await ask(self.entry, path, size)
        odd_runs = self.odd.requests[reply.attempt]
        text = "%s, %s, %d bytes: %r" % (what, path, size, reply.text[:70])
        self.checks.check(odd_runs <= 1, "sent %d times: %s" % (odd_runs, text))
        if path.startswith("/once") or path.startswith("/gen-once"):
            self.checks.check(odd_runs == 1 and reply.is_refused(), text)
        else:
            self.checks.check(reply.is_whole(path), text)
        return odd_runs

    async def sound(self, what, path, size):
        reply = await ask(self.entry, path, size)
        self.checks.check(reply.is_whole(path) and self.odd.requests[reply.attempt] <= 1,
                          "%s, %s, %d bytes: %r" % (what, path, size, reply.text[:70]))


PATHS = ("/once/1", "/gen-once/1", "/read/1", "/read/2", "/gen/1", "/gen/2")


async def play_broken(play, sizes):
    n = 0
    for what, ending in ENDINGS.items():
        for status, begin in STATUSES.items():
            play.odd.answer = break_off(begin, ending, play.chance)
            n += sum(await asyncio.gather(*(
                play.broken("%s, %s" % (status, what), path, play.chance.choice(sizes))
                for path in PATHS)))
    return n


async def play_malformed(play, sizes):
    for what, begin in MALFORMED.items():
        play.odd.answer = malformed(begin)
        await asyncio.gather(*(play.broken(what, path, play.chance.choice(sizes))
                               for path in PATHS))


async def play_sound(play, sizes):
    for what, answer in (("whole", answer_whole), ("early", answer_early)):
        play.odd.answer = answer
        await asyncio.gather(*(play.sound(what, path, play.chance.choice(sizes))
                               for path in PATHS))


async def play_all(options):
    random.seed(options.seed)
    chance = random.Random(options.seed)
    fleet = Fleet(options.program, os.devnull, 1)
    checks = Checks()
    try:
        await fleet.start_store()
        fleet.put_manifest({
            "version": 3, "limits": LIMITS, "tenants": [],
            "routes": [route("once", "unsafe", "/once/", "odd", 6000, 300),
                       route("gen-once", "stream", "/gen-once/", "odd", 6000, 300),
                       route("read", "safe", "/read/", "both", 6000, 300, 2),
                       route("gen", "stream", "/gen/", "both", 6000, 300, 2, True)],
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 370,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}
                         for name in ("odd", "both")]})
        loop = asyncio.get_running_loop()
        odd, sound = Worker(fleet, loop), Worker(fleet, loop)
        await odd.start("i-odd1", "odd")
        await odd.start("i-odd2", "both")
        await sound.start("i-sound", "both")
        entry = fleet.add_entry("entry-1", "zone-a")
        await fleet.wait_ready()
        port = int(fleet.run_line[-1])
        play = Play(entry, odd, checks, chance)
        await play_sound(play, options.sizes)
        checks.check(await counted(entry, port, "truncated_answers") == 0,
                     "sound answers are counted as truncated")
        n = await play_broken(play, options.sizes)
        counts = await counted(entry, port, "truncated_answers")
        lines = await broken_lines(entry, n)
        logged = sum(line.get("truncated", False) for line in lines)
        checks.check(0 < counts == logged,
                     "%d truncated answers are counted and %d logged" % (counts, logged))
        checks.check(len(lines) >= n, "%d answers broke off and %d are logged" % (n, len(lines)))
        await play_malformed(play, options.sizes)
        checks.check(await counted(entry, port, "malformed_answers") > 0,
                     "malformed answers are not counted")
        await play_sound(play, options.sizes)
        checks.check(await counted(entry, port, "truncated_answers") == counts,
                     "malformed or sound answers are counted as truncated")
        checks.check(entry.process.poll() is None, "the entry has ended")
    finally:
        fleet.stop()
    print("seed %d: %d passed, %d failed" % (options.seed, checks.passed, checks.failed))
    return 0 if checks.failed == 0 else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=lambda text: [int(n) for n in text.split(",")],
                        default=[300000, 3000000, 4150000], help="lengths of the uploads, in bytes")
    return asyncio.run(play_all(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
