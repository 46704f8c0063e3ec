"""Foreign bytes against one real entry: the gateway's program on loopback addresses, with the
store and workers of review/standins. In each trial somebody sends far more than a sound peer
does, while ordinary callers go on beside it.

A trial fails if the entry takes more than the part of its memory given by --most, ends, is no
longer ready, or serves the ordinary callers less than half as often as before."""
import argparse
import asyncio
import json
import os
import random
import resource
import sys
import time

from plannedwork import Fleet, LIMITS, Client, route

HUGE = b"x" * (256 * 1024)
MB = 1 << 20
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
# What a faulty worker sends: the rest of its head, and what it repeats until it is cut.
FAULTY_ANSWERS = {
    "answer-size-line": (CHUNKED + "5;", HUGE),
    "answer-trailer-line": (CHUNKED + "0\r\nX: ", HUGE),
    "answer-trailer-lines": (CHUNKED + "0\r\n", b"X: yyyyyyyyyyyyyyyyyyyy\r\n" * 10000),
    "answer-many-chunks": (CHUNKED, (b"1;" + b"x" * 4000 + b"\r\ny\r\n") * 60),
    "answer-chunked-body": (CHUNKED, b"40000\r\n" + HUGE + b"\r\n"),
    "answer-long-body": ("Content-Length: 99999999999\r\n\r\n", HUGE),
    "answer-body": ("\r\n", HUGE),
    "answer-head": ("X: ", HUGE),
    "event": ("Content-Type: text/event-stream\r\n" + CHUNKED, b"40000\r\n" + HUGE + b"\r\n"),
}
# What a caller sends behind a request line and headers.
FAULTY_REQUESTS = {
    "request-size-line": (CHUNKED + "5;", HUGE),
    "request-trailer": (CHUNKED + "4\r\nbody\r\n0\r\nX: ", HUGE),
    "request-chunked-body": (CHUNKED, b"40000\r\n" + HUGE + b"\r\n"),
    "request-many-chunks": (CHUNKED, (b"1;" + b"x" * 4000 + b"\r\ny\r\n") * 60),
    "request-head": ("X: ", HUGE),
}


async def faulty_worker(fleet, kind, service, name):
    """Answers each request with a sound begin and bytes without end."""
    rest, repeated = FAULTY_ANSWERS[kind]

    async def serve(reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            own = lines.get("Attempt-Id", "")
            writer.write(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n%s" % (
                own, rest)).encode())
            while True:
                writer.write(repeated)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    ip = fleet.new_ip()
    server = await asyncio.start_server(serve, ip, 0)
    port = server.sockets[0].getsockname()[1]
    fleet.store.put("servers/" + name, json.dumps({
        "service": service, "address": "%s:%d" % (ip, port), "zone": "zone-a", "version": "v1",
        "slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 0,
        "born": int(time.time() * 1000)}).encode())
    return server


async def send_endless(ip, port, begin, repeated, seconds):
    end = time.monotonic() + seconds
    sent = 0
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(begin)
            while time.monotonic() < end:
                writer.write(repeated)
                await asyncio.wait_for(writer.drain(), 5)
                sent += len(repeated)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)
        finally:
            writer.close()
    return sent


async def send_body(entry, size, seconds, unfinished=False):
    """Sends one body after the other; returns the statuses."""
    end = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < end:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(entry.ip, entry.ports[0])
            head = ("POST /book/1 HTTP/1.1\r\nHost: depot.example\r\nAttempt-Id: %016x\r\n"
                    "Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n" % (
                        random.getrandbits(64), size))
            writer.write(head.encode())
            body = bytes(size - (1 if unfinished else 0))
            for at in range(0, size, 1 << 16):
                writer.write(body[at:at + (1 << 16)])
                await asyncio.wait_for(writer.drain(), 5)
            line = await asyncio.wait_for(reader.readline(), 6)
            statuses.append(int(line.split()[1]) if line else 0)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            statuses.append(-1)
            await asyncio.sleep(0.1)
        finally:
            if writer is not None:
                writer.close()
    return statuses


async def hold_open(ip, port, count, seconds, begin=b""):
    """Opens connections, sends the begin of a request on each and waits."""
    writers = []
    for _ in range(count):
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 2)
            writer.write(begin)
            writers.append(writer)
        except (OSError, asyncio.TimeoutError):
            pass
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.close()
    return len(writers)


async def disturb(fleet, entry, kind, options):
    """Plays the trouble of the trial; returns what is to be told of it."""
    seconds = options.seconds
    if kind in FAULTY_ANSWERS:
        path = "/gen/1" if kind == "event" else "/odd/1"
        service = "odd-engines" if kind == "event" else "odd"
        servers = [await faulty_worker(fleet, kind, service, "i-odd%d" % n) for n in range(3)]
        await asyncio.sleep(0.5)
        end = time.monotonic() + seconds

        async def ask():
            client = Client(entry)
            while time.monotonic() < end:
                answer = await client.request("POST", path, 3000, body=b"pallets")
                statuses.append(answer.status)
                if answer.error:
                    await asyncio.sleep(0.05)

        statuses = []
        await asyncio.gather(*(ask() for _ in range(options.peers)))
        for server in servers:
            server.close()
        return {status: statuses.count(status) for status in set(statuses)}
    if kind in FAULTY_REQUESTS:
        rest, repeated = FAULTY_REQUESTS[kind]
        begin = ("POST /book/1 HTTP/1.1\r\nHost: depot.example\r\nAttempt-Id: a1\r\n"
                 "Deadline-Ms: 4000\r\n" + rest).encode()
        sent = await asyncio.gather(*(
            send_endless(entry.ip, entry.ports[0], begin, repeated, seconds)
            for _ in range(options.peers)))
        return "%d MB taken" % (sum(sent) // MB)
    if kind in ("ready-size-line", "metrics-size-line"):
        port = entry.ports[1] if kind.startswith("ready") else int(fleet.run_line[-1])
        begin = b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;"
        sent = await asyncio.gather(*(send_endless(entry.ip, port, begin, HUGE, seconds)
                                      for _ in range(options.peers)))
        return "%d MB taken" % (sum(sent) // MB)
    if kind == "ready-idle":
        return "%d open" % await hold_open(entry.ip, entry.ports[1], 500, seconds)
    if kind == "half-heads":
        begin = b"POST /book/1 HTTP/1.1\r\nHost: depot.example\r\nX: " + b"x" * 15000
        return "%d open" % await hold_open(entry.ip, entry.ports[0], 1000, seconds, begin)
    if kind == "half-size-lines":
        begin = (b"POST /book/1 HTTP/1.1\r\nHost: depot.example\r\nAttempt-Id: a1\r\n"
                 b"Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n5;" + b"x" * 60000)
        return "%d open" % await hold_open(entry.ip, entry.ports[0], 2500, seconds, begin)
    if kind in ("bodies", "unfinished-bodies"):
        results = await asyncio.gather(*(
            send_body(entry, 4 * MB, seconds, kind.startswith("unfinished"))
            for _ in range(options.callers)))
        statuses = [status for result in results for status in result]
        return {status: statuses.count(status) for status in set(statuses)}
    raise ValueError("unknown trial " + kind)


TRIALS = [*FAULTY_ANSWERS, *FAULTY_REQUESTS, "ready-size-line", "metrics-size-line",
          "ready-idle", "half-heads", "half-size-lines", "bodies", "unfinished-bodies"]


async def play(kind, options):
    random.seed(options.seed)
    fleet = Fleet(options.program, os.devnull, 1)
    failures = []
    served = {"before": [0, 0], "beside": [0, 0]}
    state = {"phase": "before", "peak": 0.0, "stop": False}
    try:
        await fleet.start_store()
        fleet.put_manifest({
            "version": 3, "limits": LIMITS, "tenants": [],
            "routes": [route("book", "unsafe", "/book/", "desk", 4000, 300),
                       route("odd", "unsafe", "/odd/", "odd", 4000, 300),
                       route("gen", "stream", "/gen/", "odd-engines", 4000, 300, 2, True)],
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 370,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}
                         for name in ("desk", "odd", "odd-engines")]})
        for n in range(2):
            fleet.add_worker(id="i-desk%d" % n, service="desk", zone="zone-a", slots=32,
                             work_ms=20, link_mbps=1000, queue=24)
        entry = fleet.add_entry("entry-1", "zone-a")
        await fleet.wait_ready()

        async def watch():
            while not state["stop"]:
                state["peak"] = max(state["peak"], entry.resident_mb())
                if entry.process.poll() is not None:
                    failures.append("the entry ended with %s" % entry.process.poll())
                    return
                if state["peak"] > entry.memory_mb:
                    failures.append("the entry took its whole memory")
                    entry.process.kill()
                    return
                await asyncio.sleep(0.01)

        async def ordinary():
            client = Client(entry)
            while not state["stop"]:
                phase = state["phase"]
                answer = await client.request("POST", "/book/2", 3000, body=b"pallets")
                served[phase][0] += answer.status == 200 and answer.complete
                served[phase][1] += 1
                await asyncio.sleep(0.02 if answer.complete else 0.2)

        async def steer():
            await asyncio.sleep(2)
            state["phase"] = "beside"
            try:
                told = await disturb(fleet, entry, kind, options)
            finally:
                state["phase"] = "after"
            ready = await entry.ready()
            state["stop"] = True
            return told, ready

        served["after"] = [0, 0]
        results = await asyncio.gather(steer(), watch(), *(ordinary() for _ in range(8)))
        told, ready = results[0]
    finally:
        fleet.stop()
    if not ready:
        failures.append("the entry is not ready")
    if state["peak"] > options.most * entry.memory_mb:
        failures.append("the entry took more than %.2f of its memory" % options.most)
    good, asked = served["beside"]
    if good < 0.5 * asked or asked == 0:
        failures.append("ordinary callers were hardly served")
    print("%s: peak %.0f MB, ordinary callers served %d of %d, trouble: %s%s" % (
        kind, state["peak"], good, asked, told,
        "; FAILED: " + ", ".join(failures) if failures else ""), flush=True)
    return not failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--trials", type=lambda text: text.split(","), default=TRIALS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--peers", type=int, default=12, help="how many send without end")
    parser.add_argument("--callers", type=int, default=40, help="how many send bodies")
    parser.add_argument("--most", type=float, default=0.8, help="part of the memory allowed")
    options = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    good = [asyncio.run(play(kind, options)) for kind in options.trials]
    print("%d passed, %d failed" % (sum(good), len(good) - sum(good)))
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
