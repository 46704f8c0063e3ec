"""Client accounts that come and go at real entries: the gateway's program on loopback
addresses, with the store of review/standins and workers that note what they run.

Fails if, after a version that held an account, a request runs without a key, with a withdrawn
or with a foreign one, also at a process started since, one that missed versions, or one that
the store is away from; if a request that was under way is lost; or if a request is refused
where no version held an account, or on a public route."""
import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time

from plannedwork import Fleet, LIMITS, route

import store

# Time within which a change of the configuration is in force (the settings' configApplyMs).
APPLY_S = 2.0
ABSENT = object()
ONE_ACCOUNT = [{"name": "club", "apiKeys": ["key-a"]}]
# What takes the account's key away, by name.
WITHDRAWN = {
    "empty list": [], "no field": ABSENT, "null": None, "text": "club", "number": 5,
    "empty object": {}, "no keys": [{"name": "club", "apiKeys": []}],
    "keys of another type": [{"name": "club", "apiKeys": "key-a"}],
    "empty key": [{"name": "club", "apiKeys": [""]}],
    "another account": [{"name": "other", "apiKeys": ["key-b"]}],
}
# Names of those that entries refuse as a whole: they go on with the version before.
REFUSED = ("text", "number", "keys of another type")


class DrillStore(store.Store):
    """A store that can be away and can forget its history."""

    def __init__(self):
        super().__init__()
        self.away, self.floor = False, 0

    async def handle(self, method, path, query, body):
        if self.away:
            raise ConnectionError
        if path == "/kv-watch" and int(query["after"]) < self.floor:
            return 410, {}
        answer = await super().handle(method, path, query, body)
        if self.away:
            raise ConnectionError
        return answer

    def forget(self):
        self.floor = self.revision


class Worker:
    """Runs requests: `slow` ones for a while, `repeat` ones only at the second arrival."""

    def __init__(self, scene):
        self.scene = scene

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                await reader.readexactly(int(lines.get("Content-Length", 0)))
                path, attempt = head.split()[1], lines["Attempt-Id"]
                runs = self.scene.runs.setdefault(attempt, [])
                runs.append((lines.get("Tenant"), "Api-Key" in lines))
                if "slow" in path or "repeat" in path:
                    await asyncio.sleep(1.5)
                if "repeat" in path and len(runs) == 1:
                    break
                writer.write(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
                              % attempt).encode())
                if path.startswith("/gen/"):
                    writer.write(b"Content-Type: text/event-stream\r\n"
                                 b"Transfer-Encoding: chunked\r\n\r\n")
                    for number in range(6):
                        event = b"id: %d\ndata: x\n\n" % (number + 1)
                        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                        await writer.drain()
                        await asyncio.sleep(0.4)
                    writer.write(b"0\r\n\r\n")
                else:
                    writer.write(b"Content-Length: 4\r\n\r\ndone")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Scene:
    """A deployment of its own with entries, two workers and a version of the configuration."""

    def __init__(self, name, options):
        self.name, self.runs, self.version = name, {}, 1
        self.passed, self.failed, self.servers = 0, 0, []
        self.fleet = Fleet(options.program, os.devnull, 2)
        self.chance = random.Random("%d %s" % (options.seed, name))

    def check(self, holds, text):
        self.passed += bool(holds)
        self.failed += not holds
        if not holds:
            print("FAILED: %s: %s" % (self.name, text), flush=True)

    def put(self, accounts):
        self.version += self.chance.randint(1, 3)
        manifest = {
            "version": self.version, "limits": LIMITS, "tenants": accounts,
            "routes": [dict(route("book", "unsafe", "/book/", "desk", 4000, 300)),
                       dict(route("read", "safe", "/read/", "desk", 6000, 300, 2)),
                       dict(route("gen", "stream", "/gen/", "desk", 12000, 300, 2, True)),
                       dict(route("line", "unsafe", "/line/", "narrow", 6000, 300)),
                       dict(route("open", "safe", "/open/", "desk", 4000, 300, 2))],
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 370,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}
                         for name in ("desk", "narrow")]}
        for item in manifest["routes"]:
            item["public"] = item["name"] == "open"
        if accounts is ABSENT:
            del manifest["tenants"]
        self.fleet.put_manifest(manifest)

    async def start(self, accounts, entries=1):
        fleet = self.fleet
        ip = fleet.new_ip()
        listener = await asyncio.start_server(lambda r, w: w.close(), ip, 0)
        fleet.store_address = listener.sockets[0].getsockname()[:2]
        listener.close()
        await listener.wait_closed()
        fleet.store = DrillStore()
        await fleet.store.start(*fleet.store_address)
        self.put(accounts)
        for name, service, slots in (("i-1", "desk", 64), ("i-2", "desk", 64),
                                     ("i-3", "narrow", 1)):
            ip = fleet.new_ip()
            server = await asyncio.start_server(Worker(self).serve, ip, 0)
            self.servers.append(server)
            fleet.store.put("servers/" + name, json.dumps({
                "service": service, "address": "%s:%d" % server.sockets[0].getsockname()[:2],
                "zone": "zone-a", "version": "v1", "slots": slots, "state": "ready",
                "coldRemainingMs": 0, "sequence": 0,
                "born": int(time.time() * 1000)}).encode())
        for number in range(entries):
            fleet.add_entry("entry-%d" % number, "zone-a")
        await fleet.wait_ready()

    async def end(self, entry, number=signal.SIGKILL):
        entry.process.send_signal(number)
        # The stores of all scenes answer in this thread.
        await asyncio.to_thread(entry.process.wait)

    async def restart(self, entry):
        await self.end(entry, self.chance.choice((signal.SIGKILL, signal.SIGTERM)))
        entry.start()

    async def ask(self, entry, method, path, key, kept=None):
        """Returns the status, the rest of the answer and the worker's note; 0 for no answer."""
        attempt = "%016x" % self.chance.getrandbits(64)
        head = "%s %s HTTP/1.1\r\nHost: depot.example\r\nAttempt-Id: %s\r\n" % (
            method, path, attempt)
        head += "Deadline-Ms: 5000\r\n" + ("" if key is None else "Api-Key: %s\r\n" % key)
        body = b"pallets" if method == "POST" else b""
        try:
            reader, writer = kept or await asyncio.open_connection(entry.ip, entry.ports[0])
            writer.write((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)
            lines = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6)).decode()
            if "chunked" in lines:
                rest = await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 12)
            else:
                length = lines.lower().split("content-length: ")[1].split("\r\n")[0]
                rest = await asyncio.wait_for(reader.readexactly(int(length)), 6)
            status = int(lines.split()[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status, rest = 0, b""
        if not kept:
            writer.close()
        return status, rest, self.runs.get(attempt, [])

    async def expect_closed(self, what, entry, statuses=(401,), kept=None,
                            keys=("key-a", "foreign", "", None)):
        for key in keys:
            for method, path in (("POST", "/book/1"), ("POST", "/gen/1"), ("GET", "/read/1")):
                status, _, runs = await self.ask(entry, method, path, key, kept)
                self.check(not runs, "%s: %s with key %r ran" % (what, path, key))
                self.check(status in statuses, "%s: %s with key %r got %d" % (
                    what, path, key, status))

    async def expect_served(self, what, entry, path="/book/1", key=None, account=None):
        method = "POST" if path.startswith("/book/") else "GET"
        status, _, runs = await self.ask(entry, method, path, key)
        self.check(status == 200 and runs == [(account, False)],
                   "%s: %s with key %r got %d, ran %r" % (what, path, key, status, runs))

    async def become(self, what, entry, status, key=None, seconds=10):
        """Waits until a request is answered with the status."""
        end = time.monotonic() + seconds
        while (seen := (await self.ask(entry, "POST", "/book/1", key))[0]) != status:
            if time.monotonic() > end:
                break
            await asyncio.sleep(0.1)
        self.check(seen == status, "%s: still answered with %d" % (what, seen))


async def play_withdrawn(scene, what):
    """The key goes in one of many ways; then the entry restarts, and a new one starts."""
    await scene.start(ONE_ACCOUNT)
    entry = scene.fleet.entries[0]
    kept = await asyncio.open_connection(entry.ip, entry.ports[0])
    await scene.expect_served("before", entry, key="key-a", account="club")
    status, _, _ = await scene.ask(entry, "POST", "/book/1", "key-a", kept)
    scene.check(status == 200, "before: a kept connection got %d" % status)
    scene.put(WITHDRAWN[what])
    statuses = (503,) if what in REFUSED else (401,)
    await asyncio.sleep(APPLY_S)
    await scene.expect_closed("after", entry, statuses)
    await scene.expect_closed("after, kept connection", entry, statuses, kept)
    await scene.expect_served("after", entry, "/open/1")
    if what == "another account":
        await scene.expect_served("after", entry, key="key-b", account="other")
    kept[1].close()
    await scene.restart(entry)
    started = scene.fleet.add_entry("entry-new", "zone-a")
    await scene.fleet.wait_ready() if what not in REFUSED else await asyncio.sleep(3)
    for it in (entry, started):
        await scene.expect_closed("started since", it, statuses)
        if what not in REFUSED:
            await scene.expect_served("started since", it, "/open/1")
    scene.put(ONE_ACCOUNT)
    await scene.become("back", entry, 200, "key-a")
    await scene.expect_closed("back", entry, keys=("foreign", "", None))


async def play_moved(scene):
    await scene.start(ONE_ACCOUNT)
    entry = scene.fleet.entries[0]
    await scene.expect_served("before", entry, key="key-a", account="club")
    scene.put([{"name": "club", "apiKeys": ["key-c"]}, {"name": "other", "apiKeys": ["key-a"]}])
    await asyncio.sleep(APPLY_S)
    await scene.expect_served("moved", entry, key="key-a", account="other")
    await scene.expect_served("new", entry, key="key-c", account="club")
    scene.put([{"name": "club", "apiKeys": ["key-c"]}])
    await asyncio.sleep(APPLY_S)
    await scene.expect_closed("gone", entry)


async def play_missed(scene, forget, kill):
    """An entry of open routes misses a version with an account."""
    await scene.start([])
    entry = scene.fleet.entries[0]
    await scene.expect_served("open", entry)
    if kill:
        await scene.end(entry)
    else:
        entry.process.send_signal(signal.SIGSTOP)
    scene.put(ONE_ACCOUNT)
    scene.put([])
    if forget:
        scene.fleet.store.forget()
    await asyncio.sleep(1)
    if kill:
        entry.start()
        await scene.fleet.wait_ready()
    else:
        entry.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(APPLY_S)
    # Without its history the store doesn't tell what the missed versions held.
    status = 503 if forget else 401
    await scene.become("missed", entry, status, "key-a", 2)
    await scene.expect_closed("missed", entry, (status,))
    await scene.expect_served("missed", entry, "/open/1")
    scene.put(ONE_ACCOUNT)
    await scene.become("an account", entry, 200, "key-a")


async def play_away(scene):
    """The store goes away after the last account did, and an entry restarts meanwhile."""
    await scene.start(ONE_ACCOUNT, 2)
    first, second = scene.fleet.entries
    scene.put([])
    await asyncio.sleep(APPLY_S)
    scene.fleet.store.away = True
    for _ in range(3):
        await scene.expect_closed("away", first, (401, 503))
        await scene.expect_served("away", first, "/open/1")
        await asyncio.sleep(1.5)
    await scene.restart(second)
    await asyncio.sleep(2)
    await scene.expect_closed("started while away", second, (503,))
    scene.fleet.store.away = False
    await scene.fleet.wait_ready()
    for entry in (first, second):
        await scene.become("back", entry, 401, "key-a")
        await scene.expect_closed("back", entry)


async def play_away_open(scene):
    """Without accounts an outage of the store excuses nothing."""
    await scene.start(ABSENT)
    entry = scene.fleet.entries[0]
    scene.fleet.store.away = True
    for _ in range(8):
        await scene.expect_served("away", entry)
        await asyncio.sleep(1)
    scene.fleet.store.away = False
    await scene.expect_served("back", entry)


async def play_under_way(scene):
    """Requests under way when the last account goes are completed."""
    await scene.start(ONE_ACCOUNT)
    entry = scene.fleet.entries[0]
    asks = [("POST", "/gen/1"), ("POST", "/book/slow"), ("GET", "/read/repeat"),
            ("POST", "/line/slow"), ("POST", "/line/slow")]
    kept = [await asyncio.open_connection(entry.ip, entry.ports[0]) for _ in asks]
    under_way = [asyncio.create_task(scene.ask(entry, method, path, "key-a", connection))
                 for (method, path), connection in zip(asks, kept)]
    await asyncio.sleep(0.4)
    scene.put([])
    for (_, path), (status, rest, runs) in zip(asks, await asyncio.gather(*under_way)):
        scene.check(status == 200 and {run[0] for run in runs} == {"club"},
                    "under way: %s got %d, ran %r" % (path, status, runs))
        scene.check(path != "/gen/1" or rest.count(b"id: ") == 6, "under way: %r" % rest)
    await asyncio.sleep(APPLY_S)
    for connection in kept:
        await scene.expect_closed("kept connection", entry, kept=connection)
        connection[1].close()


async def play_open(scene):
    """No version held an account: nobody needs a key, whatever restarts, until one does."""
    await scene.start([], 2)
    for entry in scene.fleet.entries:
        await scene.expect_served("first version", entry)
    scene.put([])
    for entry in scene.fleet.entries:
        await scene.end(entry)
        entry.start()
    await scene.fleet.wait_ready()
    for entry in scene.fleet.entries:
        await scene.become("restart behind a version", entry, 200)
    for _ in range(100):
        record = scene.fleet.store.items.get("samphiresail/no-accounts-through")
        if record and int(record.value) >= scene.fleet.store.items["op/config"].revision:
            break
        await asyncio.sleep(0.1)
    scene.fleet.store.forget()
    await scene.restart(scene.fleet.entries[0])
    await scene.fleet.wait_ready()
    await scene.expect_served("restart without history", scene.fleet.entries[0])
    scene.put(ONE_ACCOUNT)
    await asyncio.sleep(APPLY_S)
    for entry in scene.fleet.entries:
        await scene.expect_closed("an account", entry, keys=("foreign", "", None))
        await scene.expect_served("an account", entry, key="key-a", account="club")


def scenes():
    for what in WITHDRAWN:
        yield "withdrawn by " + what, lambda scene, what=what: play_withdrawn(scene, what)
    yield "keys moved", play_moved
    for forget in (False, True):
        for kill in (False, True):
            yield "missed, %s, %s" % ("killed" if kill else "stopped", (
                "no history" if forget else "history")), lambda scene, forget=forget, kill=kill: (
                    play_missed(scene, forget, kill))
    yield "store away", play_away
    yield "store away, open", play_away_open
    yield "under way", play_under_way
    yield "open", play_open


async def play(options):
    random.seed(options.seed)
    places = asyncio.Semaphore(options.jobs)

    async def run(name, case):
        async with places:
            scene = Scene(name, options)
            try:
                await case(scene)
                scene.check(all(entry.process.poll() is None for entry in scene.fleet.entries),
                            "an entry has ended")
            finally:
                scene.fleet.stop()
                for server in scene.servers:
                    server.close()
            print("%s: %d passed, %d failed" % (name, scene.passed, scene.failed), flush=True)
            return scene

    chosen = [(name, case) for name, case in scenes() if options.only in name]
    done = await asyncio.gather(*(run(name, case) for name, case in chosen))
    # The connections of the stores are cancelled as the loop ends.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    failed = sum(scene.failed for scene in done)
    print("seed %d: %d passed, %d failed" % (
        options.seed, sum(scene.passed for scene in done), failed))
    return 0 if done and failed == 0 else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4, help="scenes that are played at a time")
    parser.add_argument("--only", default="", help="a part of the names of the scenes to play")
    return asyncio.run(play(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
