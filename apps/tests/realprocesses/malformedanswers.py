"""Malformed answers of workers against one real entry: the gateway's program on loopback
addresses, with the store of review/standins and workers that answer each request with one of
the heads below.

Fails if a caller receives a byte of a malformed answer, if a request that must run once is
sent twice, if one that may be repeated is not answered by the sound worker, if a connection is
used again after a malformed answer, or if the entry does not count them."""
import argparse
import asyncio
import json
import os
import random
import sys
import time

from plannedwork import Fleet, LIMITS, route

OK = b"HTTP/1.1 200 OK\r\n"
# Status line and first field of a malformed answer.
MALFORMED = {
    "status 000": b"HTTP/1.1 000 OK\r\n",
    "status 099": b"HTTP/1.1 099 OK\r\n",
    "status 999": b"HTTP/1.1 999 OK\r\n",
    "blank in a name": OK + b"X Y: z\r\n",
    "blank before the colon": OK + b"Content-Length : 3\r\n",
    "control byte in a name": OK + b"X\x01Y: z\r\n",
    "NUL in a name": OK + b"X\x00Y: z\r\n",
    "control byte in a value": OK + b"X: y\x01z\r\n",
    "bare LF": OK + b"X: y\nY: z\r\n",
}
# The same of a sound answer that few workers send.
SOUND = {
    "token": OK + b"!#$%&'*+-.^_`|~09azAZ: z\r\n",
    "empty value": OK + b"X: \r\n",
    "bytes above 0x7F": OK + b"X: \x80\xe9\xff\r\n",
    "no reason phrase": b"HTTP/1.1 200 \r\n",
    "unknown success": b"HTTP/1.1 299 X\r\n",
}
FOREIGN = b"foreign"


class Worker:
    """Answers with the head that is set, or with a plain sound one."""

    def __init__(self, fleet):
        self.fleet, self.head = fleet, None
        self.requests, self.reused = [], 0

    async def serve(self, reader, writer):
        malformed_sent = False
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                await reader.readexactly(int(lines.get("Content-Length", 0)))
                self.requests.append(lines["Attempt-Id"])
                self.reused += malformed_sent
                malformed_sent = self.head in MALFORMED.values()
                body = FOREIGN if malformed_sent else b"sound"
                writer.write((self.head or OK) + (
                    "Attempt-Id: %s\r\nResponse-Seal: s\r\n" % lines["Attempt-Id"]).encode())
                if head.split()[1].startswith("/gen/"):
                    event = b"id: 1\ndata: " + body + b"\n\n"
                    writer.write(b"Content-Type: text/event-stream\r\n"
                                 b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
                                 % (len(event), event))
                else:
                    writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def start(self, name, service):
        ip = self.fleet.new_ip()
        server = await asyncio.start_server(self.serve, ip, 0)
        port = server.sockets[0].getsockname()[1]
        self.fleet.store.put("servers/" + name, json.dumps({
            "service": service, "address": "%s:%d" % (ip, port), "zone": "zone-a",
            "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
            "sequence": 0, "born": int(time.time() * 1000)}).encode())
        return server


async def ask(entry, method, path):
    """Returns the bytes that one caller receives until its connection ends."""
    reader, writer = await asyncio.open_connection(entry.ip, entry.ports[0])
    body = b"pallets" if method == "POST" else b""
    writer.write(("%s %s HTTP/1.1\r\nHost: depot.example\r\nAttempt-Id: %016x\r\n"
                  "Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % (
                      method, path, random.getrandbits(64), len(body))).encode() + body)
    try:
        return await asyncio.wait_for(reader.read(), 6)
    finally:
        writer.close()


async def counted(entry, port):
    reader, writer = await asyncio.open_connection(entry.ip, port)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    text = (await asyncio.wait_for(reader.read(), 5)).decode()
    writer.close()
    for line in text.splitlines():
        if line.startswith("samphiresail_malformed_answers_total "):
            return float(line.split()[1])
    return 0.0


class Checks:
    def __init__(self):
        self.passed, self.failed = 0, 0

    def check(self, holds, text):
        self.passed += bool(holds)
        self.failed += not holds
        if not holds:
            print("FAILED: " + text, flush=True)


async def play_malformed(entry, odd, sound, checks):
    for what, head in MALFORMED.items():
        odd.head = head
        for _ in range(4):
            before = len(odd.requests)
            answer = await ask(entry, "POST", "/once/1")
            checks.check(answer.startswith(b"HTTP/1.1 502 ") and FOREIGN not in answer,
                         "%s, request that must run once: %r" % (what, answer))
            checks.check(len(odd.requests) == before + 1,
                         "%s: sent %d times" % (what, len(odd.requests) - before))
        for method, path in (("GET", "/read/1"), ("POST", "/gen/1")):
            for _ in range(4):
                answer = await ask(entry, method, path)
                checks.check(answer.startswith(b"HTTP/1.1 200 ") and b"sound" in answer and
                             FOREIGN not in answer, "%s, %s: %r" % (what, path, answer))
    checks.check(odd.reused == 0, "%d requests on used connections" % odd.reused)
    checks.check(len(sound.requests) > 0, "the sound worker was never asked")


async def play_sound(entry, odd, checks):
    for what, head in SOUND.items():
        odd.head = head
        for method, path in (("POST", "/once/1"), ("GET", "/read/1"), ("POST", "/gen/1")):
            answer = await ask(entry, method, path)
            checks.check(answer.startswith(b"HTTP/1.1 2") and b"sound" in answer,
                         "%s, %s: %r" % (what, path, answer))


async def play(options):
    random.seed(options.seed)
    fleet = Fleet(options.program, os.devnull, 1)
    checks = Checks()
    try:
        await fleet.start_store()
        fleet.put_manifest({
            "version": 3, "limits": LIMITS, "tenants": [],
            "routes": [route("once", "unsafe", "/once/", "odd", 4000, 300),
                       route("read", "safe", "/read/", "both", 4000, 300, 2),
                       route("gen", "stream", "/gen/", "both", 4000, 300, 2, True)],
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 370,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}
                         for name in ("odd", "both")]})
        odd, sound = Worker(fleet), Worker(fleet)
        servers = [await odd.start("i-odd1", "odd"), await odd.start("i-odd2", "both"),
                   await sound.start("i-sound", "both")]
        entry = fleet.add_entry("entry-1", "zone-a")
        await fleet.wait_ready()
        port = int(fleet.run_line[-1])
        await play_malformed(entry, odd, sound, checks)
        n = await counted(entry, port)
        checks.check(n >= 4 * len(MALFORMED), "only %d malformed answers are counted" % n)
        await play_sound(entry, odd, checks)
        checks.check(await counted(entry, port) == n, "sound answers are counted as malformed")
        checks.check(entry.process.poll() is None, "the entry has ended")
        for server in servers:
            server.close()
    finally:
        fleet.stop()
    print("seed %d: %d passed, %d failed" % (options.seed, checks.passed, checks.failed))
    return 0 if checks.failed == 0 else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    return asyncio.run(play(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
