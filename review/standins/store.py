"""Stand-in of the platform's key-value store, run inside the script's own process.

It keeps revisions, leases, watches and conditional writes as the pages describe them. Workers
write their records through a private call (`/standin/put`), whose records lapse after the
given time."""
import asyncio
import base64
import json
import time
import urllib.parse

import http11


class Item:
    def __init__(self, value, revision, created, lease):
        self.value, self.revision, self.created, self.lease = value, revision, created, lease


class Store:
    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 7000
        self.lapses = {}
        self.changed = asyncio.Event()
        # Called with (path, body) of a write that was done; true if its answer is lost.
        self.lose_answer = lambda path, body: False
        # Called with (path, body, status) of each write.
        self.on_write = lambda path, body, status: None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.ticker = asyncio.create_task(self.tick())

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)
            for key in [k for k, end in self.lapses.items() if end <= now]:
                self.remove(key)

    def record(self, key, item):
        self.history.append((self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
        old = self.items.get(key)
        created = old.created if old else self.revision
        item = Item(value, self.revision, created, lease)
        self.items[key] = item
        self.record(key, item)
        return self.revision

    def remove(self, key):
        self.lapses.pop(key, None)
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.record(key, None)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def describe(self, key, item, revision=None):
        if item is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return {"key": key, "value": base64.b64encode(item.value).decode(),
                "revision": item.revision, "createRev": item.created, "lease": item.lease}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http11.read_request(reader)
                if request is None:
                    break
                method, target, _ = request.start.split(" ")
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                status, body = await self.handle(method, path, query, request.body)
                if method != "GET":
                    self.on_write(path, request.body, status)
                    if status == 200 and self.lose_answer(path, request.body):
                        break
                writer.write(http11.response(status, "Status", json.dumps(body).encode(),
                                             [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, dict(self.describe(query["key"], item), storeRevision=self.revision)
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("pathPrefix", ""))
                          and k > query.get("after", ""))
            items = [self.describe(k, self.items[k]) for k in keys[:500]]
            return 200, {"items": items, "truncated": len(keys) > 500,
                         "storeRevision": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.transaction(json.loads(body))
        if path == "/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/standin/put":
            call = json.loads(body)
            self.put(call["key"], json.dumps(call["value"]).encode())
            self.lapses[call["key"]] = time.monotonic() + call["ttlMs"] / 1000
            return 200, {}
        if path == "/standin/remove":
            self.remove(json.loads(body)["key"])
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [self.describe(key, item, revision) for revision, key, item in self.history
                      if revision > after and key.startswith(prefix)]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass

    def transaction(self, call):
        failed = [row["key"] for row in call.get("precondition", [])
                  if (self.items[row["key"]].revision if row["key"] in self.items else 0)
                  != row["revision"]]
        if failed:
            keys = [row["key"] for row in call["precondition"]]
            return 412, {"items": [self.describe(k, self.items[k])
                                   for k in keys if k in self.items],
                         "storeRevision": self.revision}
        for write in call.get("writes", []):
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        revision = self.revision
        for write in call.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0), revision)
        for key in call.get("remove", []):
            if key in self.items:
                del self.items[key]
                self.record(key, None)
        return 200, {"revision": revision}
