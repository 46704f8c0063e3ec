"""A store that can be set back to a copy of itself, as after the restore of a backup.

What the entries wrote since the copy is gone; revisions and the numbers of leases are given out
again. The operator writes again what it wrote since. Answers state how often the store was set
back in the header `Store-Era`, unless the era is none."""
import asyncio
import json
import time

import plannedwork  # noqa: F401  (makes the stand-ins of the review importable)
import store

SNAPSHOT_INTERVAL_S = 0.1
# Longest age of a copy.
SNAPSHOT_MEMORY_S = 12.0


class Snapshot:
    def __init__(self, of):
        self.at = time.monotonic()
        self.items, self.lapses, self.leases = dict(of.items), dict(of.lapses), dict(of.leases)
        self.revision, self.next_lease, self.events = of.revision, of.next_lease, len(of.history)


class StatingWriter:
    """Adds the header with the era to each response."""

    def __init__(self, writer, of):
        self.writer, self.of = writer, of

    def write(self, data):
        line, rest = data.split(b"\r\n", 1)
        stated = b"" if self.of.era is None else b"Store-Era: %d\r\n" % self.of.era
        self.writer.write(line + b"\r\n" + stated + rest)

    async def drain(self):
        await self.writer.drain()

    def close(self):
        self.writer.close()


class RestorableStore(store.Store):
    def __init__(self, era=1):
        super().__init__()
        self.era, self.away = era, False
        self.snapshots, self.operator, self.writers = [], [], set()
        # Called with the key of a record; true if its writer does not reach the store.
        self.cut_off = lambda key: False
        # Returns the seconds after which a write whose answer is lost runs; none for no loss.
        self.run_late = lambda path, call: None
        # Longest time to live that is granted, in milliseconds.
        self.longest_ttl = None
        # So many grants are answered without the number of the lease.
        self.grants_without_lease = 0
        # Revisions up to this one are no longer in the history.
        self.floor = 0

    async def start(self, host, port):
        await super().start(host, port)
        self.photographer = asyncio.create_task(self.take_snapshots())

    async def take_snapshots(self):
        while True:
            if not self.away:
                self.snapshots.append(Snapshot(self))
            while self.snapshots[0].at < time.monotonic() - SNAPSHOT_MEMORY_S:
                self.snapshots.pop(0)
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, StatingWriter(writer, self))
        finally:
            self.writers.discard(writer)

    async def handle(self, method, path, query, body):
        # The stand-ins of workers end their beats if such a call gets no response.
        if path == "/standin/put" and (self.away or self.cut_off(json.loads(body)["key"])):
            return 503, {}
        if self.away:
            raise ConnectionError
        era = self.era
        if path == "/kv-watch" and not self.floor <= int(query["after"]) <= self.revision:
            return 410, {}
        if path == "/standin/put":
            call = json.loads(body)
            known = self.items.get(call["key"])
            if known and known.value == json.dumps(call["value"]).encode():
                # A beat that says nothing new does not change the record.
                self.lapses[call["key"]] = time.monotonic() + call["ttlMs"] / 1000
                return 200, {}
        delay = self.run_late(path, body) if path == "/kv-txn" else None
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self.transaction, json.loads(body))
            raise ConnectionError
        if path == "/kv-lease" and self.grants_without_lease > 0:
            self.grants_without_lease -= 1
            return 200, {"ttlMs": json.loads(body)["ttlMs"]}
        if path == "/kv-lease" and self.longest_ttl:
            call = json.loads(body)
            body = json.dumps(dict(call, ttlMs=min(call["ttlMs"], self.longest_ttl)))
        answer = await super().handle(method, path, query, body)
        if self.away or era != self.era:
            raise ConnectionError
        return answer

    def operate(self, key, value):
        """Writes as the operator does; no value removes the record. Returns the revision."""
        self.operator.append((time.monotonic(), key, value))
        self.write(key, value)
        return self.revision

    def write(self, key, value):
        if value is None:
            self.remove(key)
        else:
            self.put(key, value)

    def values(self, prefix):
        return {key: item.value for key, item in self.items.items() if key.startswith(prefix)}

    async def restore(self, age, away, leases="end", rewrite_after=1.0, burst=0,
                      at_return=lambda: None):
        """Is away, comes back from a copy of the given age and gets what the operator wrote
        since once more after `rewrite_after`. Leases of the copy `end` with their records, end
        without them (`orphan`), or are `kept`. A burst of other writes follows what is done
        `at_return`. Returns when the store was lost and when it was back."""
        lost_at = time.monotonic()
        self.away = True
        for writer in list(self.writers):
            writer.close()
        await asyncio.sleep(away)
        copy = min(self.snapshots, key=lambda it: abs(it.at - (lost_at - age)))
        self.items, self.lapses, self.leases = dict(copy.items), dict(copy.lapses), {}
        self.revision, self.next_lease = copy.revision, copy.next_lease
        self.floor = min(self.floor, copy.revision)
        del self.history[copy.events:]
        now = time.monotonic()
        self.lapses = {key: now + 3.6 for key in self.lapses}
        if leases == "kept":
            self.leases = {it: (ttl, now + ttl / 1000) for it, (ttl, _) in copy.leases.items()}
        elif leases == "end":
            self.items = {key: item for key, item in self.items.items() if not item.lease}
        self.snapshots = [it for it in self.snapshots if it.at <= copy.at]
        if self.era is not None:
            self.era += 1
        self.away = False
        lost = [(key, value) for at, key, value in self.operator if at > copy.at]
        at_return()
        for number in range(burst):
            self.put("op/other", b"%d" % number)
        asyncio.get_running_loop().call_later(rewrite_after, self.write_again, lost)
        return lost_at, now

    def write_again(self, writes):
        for key, value in writes:
            self.write(key, value)

    def forget_history(self):
        self.floor = self.revision
