"""Stand-in of a worker: runs requests, streams events, carries out orders for models.

Options come as JSON in the first argument. What it does with each request goes as a line of
JSON to its standard output, with the time of the monotonic clock."""
import asyncio
import hashlib
import json
import os
import signal
import sys
import time

import http11

ENDLESS = b"5;note=" + b"x" * (256 * 1024)


class Worker:
    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        # Adapters by model.
        self.models = {name: [] for name in options.get("models", [])}
        self.stored = list(self.models)
        # Models and (model, adapter) pairs that wait for their runs to be dropped.
        self.leaving_models = set()
        # Runs by model and by (model, adapter).
        self.using = {}
        self.state = "ready"
        self.leaves_at = None
        self.busy = False
        self.sequence = 0
        self.fence = 0
        self.running = 0
        self.places = asyncio.Semaphore(options["slots"])
        self.waiting = 0
        self.answers = 0
        self.endless_left = options.get("endless", 0)
        self.born = int(time.time() * 1000)

    def log(self, what, **facts):
        line = dict(at=round(time.monotonic(), 4), worker=self.id, what=what, **facts)
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    def entry(self):
        o = self.options
        entry = {"service": o["service"], "address": "%s:%d" % (o["host"], o["port"]),
                 "zone": o["zone"], "version": "v1", "slots": o["slots"], "state": self.state,
                 "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}
        if o.get("weights_mb"):
            entry["stage"] = "colocated"
            entry["models"] = self.held()
            entry["atHand"] = {"inMemory": [], "onDisk": self.stored}
        if self.leaves_at is not None:
            entry["remainingMs"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        return entry

    async def beat(self):
        call = {"key": "servers/" + self.id, "value": self.entry(), "ttlMs": 3600}
        host, port = self.options["store"]
        try:
            await http11.call(host, port, "POST", "/standin/put", json.dumps(call).encode())
        except (OSError, asyncio.TimeoutError):
            pass

    async def beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    def leave(self):
        """A notice that the worker is taken away after the given time."""
        self.state = "draining"
        self.leaves_at = time.monotonic() + self.options["notice_ms"] / 1000
        self.log("draining", remainingMs=self.options["notice_ms"])
        asyncio.create_task(self.beat())

    def headers(self):
        load = "%d,%d,%d" % (self.running, self.waiting, self.options["slots"])
        return [("Server-Load", load)] + ([("Server-Leaving", "1")] if self.leaves_at else [])

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http11.read_request(reader)
                if request is None or not await self.answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def refuse(self, writer, status, own, **facts):
        self.log("not run", status=status, **facts)
        more = [("Instance-Id", self.id)] if status == 421 else [("Not-Executed", "1")]
        writer.write(http11.response(status, "Not run", b"", own + self.headers() + more))
        return True

    async def answer(self, request, writer):
        arrived = time.monotonic()
        path = request.start.split(" ")[1]
        attempt = request.get("attempt-id")
        own = [("Attempt-Id", attempt)] if attempt else []
        expected = request.get("expect-instance")
        if expected and expected != self.id:
            return self.refuse(writer, 421, own, attempt=attempt)
        if path == "/health":
            status = 503 if self.leaves_at else 200
            writer.write(http11.response(status, "Health", b"", [("Instance-Id", self.id)]))
            return True
        if path == "/report":
            writer.write(http11.response(200, "OK", json.dumps(self.report()).encode()))
            return True
        if path == "/order":
            status = self.order(json.loads(request.body))
            writer.write(http11.response(status, "Order", b"{}"))
            return True
        if not attempt:
            return self.refuse(writer, 400, own)
        model, _, adapter = request.get("model").partition("/")
        used = [key for key in (model, (model, adapter)) if model and key[-1]]
        if model and (model not in self.models or
                      (adapter and adapter not in self.models[model])):
            return self.refuse(writer, 421, own, attempt=attempt, model=request.get("model"))
        if self.leaving_models.intersection(used):
            return self.refuse(writer, 503, own, attempt=attempt, model=request.get("model"))
        if self.places.locked() and self.waiting >= self.options.get("queue", 24):
            return self.refuse(writer, 503, own, attempt=attempt)
        end = arrived + int(request.get("deadline-ms", "10000")) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self.places.acquire(), max(end - time.monotonic(), 0.001))
        except asyncio.TimeoutError:
            return self.refuse(writer, 503, own, attempt=attempt)
        finally:
            self.waiting -= 1
        self.running += 1
        for key in used:
            self.using[key] = self.using.get(key, 0) + 1
        try:
            return await self.run(path, request, attempt, own, writer, end)
        finally:
            self.running -= 1
            self.places.release()
            for key in used:
                self.using[key] -= 1

    async def run(self, path, request, attempt, own, writer, end):
        self.answers += 1
        if path.startswith("/gen/"):
            after = int(request.get("last-event-id") or 0)
            return await self.stream(attempt, after, own, writer, end)
        self.log("runs", attempt=attempt, path=path)
        if self.endless_left and self.answers > self.options["endless_after"]:
            self.endless_left -= 1
            return await self.endless(attempt, own, writer)
        work = self.options["work_ms"] / 1000
        await asyncio.sleep(max(0.0, min(work, end - time.monotonic())))
        body = (("answer to " + attempt + " ") * 40).encode()[:800]
        in_time = time.monotonic() < end
        status = 200 if in_time else 504
        if not in_time:
            body = b"the time limit has passed"
        seal = hashlib.sha1(body).hexdigest()
        writer.write(http11.response(status, "OK" if in_time else "Gateway Timeout", body,
                                     own + self.headers() + [("Response-Seal", seal)]))
        await writer.drain()
        self.log("answered", attempt=attempt, status=status)
        return True

    async def endless(self, attempt, own, writer):
        """Answers with a size line of a chunk that never ends, no faster than the link."""
        self.log("endless", attempt=attempt)
        head = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: none\r\n" % attempt
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        per_second = self.options["link_mbps"] * 1e6 / 8
        begin, sent = time.monotonic(), 0
        try:
            while True:
                writer.write(ENDLESS if sent == 0 else ENDLESS[7:])
                await writer.drain()
                sent += len(ENDLESS)
                await asyncio.sleep(max(0.0, begin + sent / per_second - time.monotonic()))
        finally:
            self.log("endless closed", attempt=attempt, megabytes=sent // 1000000)

    async def stream(self, attempt, after, own, writer, end):
        """Streams the events after the given one. The answer of the given number has neither
        a length nor chunks."""
        o = self.options
        unframed = self.answers == o.get("unframed_number", 0)
        events = o["events"]
        self.log("runs", attempt=attempt, events=events, after=after, unframed=unframed)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nResponse-Seal: %s.%d\r\n" % (
            attempt, events)
        for name, value in own + self.headers():
            head += "%s: %s\r\n" % (name, value)
        head += "Connection: close\r\n\r\n" if unframed else "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(after + 1, events + 1):
            await asyncio.sleep(o["event_ms"] / 1000)
            if time.monotonic() >= end:
                return False
            event = ("id: %d\ndata: %s piece %d\n\n" % (number, attempt, number)).encode()
            writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if not unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.log("done", attempt=attempt, unframed=unframed)
        return not unframed

    def report(self):
        return {"stage": "colocated", "busy": self.busy, "sequence": self.sequence,
                "queued": self.waiting, "inFlight": self.running, "kvUsed": 0,
                "kvTotal": 100000, "handles": 0, "models": self.held(), "coming": [],
                "atHand": {"inMemory": [], "onDisk": self.stored}}

    def held(self):
        return [{"name": name, "version": 1, "adapters": adapters}
                for name, adapters in self.models.items()]

    def order(self, order):
        """Returns the status with which the order is answered."""
        self.log("order", **order)
        if not order.get("holder") or order.get("fencingToken") is None:
            return 400
        if order["fencingToken"] < self.fence:
            return 412
        self.fence = order["fencingToken"]
        model, adapter = order["model"], order.get("adapter", "")
        load = order["operation"] == "load"
        if adapter and model not in self.models:
            return 400
        present = adapter in self.models[model] if adapter else model in self.models
        if load == present:
            return 200
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        if self.busy and not adapter:
            return 409
        self.sequence += 1
        key = (model, adapter) if adapter else model
        if adapter and load:
            self.models[model].append(adapter)
            if sum(len(adapters) for adapters in self.models.values()) > self.options["adapters"]:
                self.log("ordered to hold too many adapters: crashes")
                os._exit(1)
            return 202
        if adapter and not self.using.get(key, 0):
            self.models[model].remove(adapter)
            return 200
        self.busy = self.busy or not adapter
        asyncio.create_task(self.carry_out(key, model, adapter, load))
        return 202

    async def carry_out(self, key, model, adapter, load):
        if load:
            await asyncio.sleep(self.options["load_s"])
            self.models[model] = []
            if model not in self.stored:
                self.stored.append(model)
        else:
            self.leaving_models.add(key)
            while self.using.get(key, 0):
                await asyncio.sleep(0.02)
            self.leaving_models.discard(key)
            if adapter:
                self.models[model].remove(adapter)
            else:
                del self.models[model]
        if not adapter:
            self.busy = False
        self.log("holds", models=self.models)
        await self.beat()


async def main():
    worker = Worker(json.loads(sys.argv[1]))
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, worker.leave)
    server = await asyncio.start_server(worker.serve, worker.options["host"],
                                        worker.options["port"], backlog=512)
    asyncio.create_task(worker.beats())
    worker.log("start")
    async with server:
        await server.serve_forever()


asyncio.run(main())
