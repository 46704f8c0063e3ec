"""Reports of usage by real processes: the gateway's program on loopback addresses, the store
and workers of review/standins, and a stand-in of the platform's interface that checks every
report against the requests that the workers ran.

Fails if a window is reported with different counts, if a count deviates by more than the
tolerance, if a window has no report in time, if two holders use the same token, or if holders
act in the order A, B, A within the lease. With --kill, the leader is killed at times; with
--down, the interface does not answer for that many seconds; with --lose, it loses that
fraction of its responses."""
import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import plannedwork  # noqa: E402
from plannedwork import LIMITS, Fleet, Managed, deployment, route  # noqa: E402

import http11  # noqa: E402

WINDOW_S, LATE_S, LEASE_S = 5, 10.0, 3.0
TOLERANCE = 0.05
ACCOUNTS = ("account-a", "account-b", "account-c")


class Interface:
    """The platform's interface for duties."""

    def __init__(self, fleet, options, chance):
        self.fleet, self.options, self.chance = fleet, options, chance
        self.token, self.down_until = 0, 0.0
        self.holders = {}
        self.acts = []
        # By window: its counts, and when they were first reported.
        self.reports = {}

    async def start(self):
        ip = self.fleet.new_ip()
        self.address = (ip, deployment.free_ports(ip, 1)[0])
        await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        try:
            request = await http11.read_request(reader)
            while time.monotonic() < self.down_until:
                await asyncio.sleep(0.1)
            status = self.take(request)
            if self.chance.random() >= self.options.lose:
                writer.write(http11.response(status, "X", b"{}"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, AttributeError):
            pass
        finally:
            writer.close()

    def take(self, request):
        token, holder = int(request.get("fencing-token")), request.get("duty-holder")
        report = json.loads(request.body)
        if not request.start.startswith("POST /usage ") or set(report) != {"windowId", "counts"}:
            self.fleet.fault("a call is malformed: %s" % request.start)
            return 400
        if token < self.token:
            return 409
        self.token = token
        if self.holders.setdefault(token, holder) != holder:
            self.fleet.fault("token %d is used by two holders" % token)
        self.acts.append((time.monotonic(), holder))
        window, counts = report["windowId"], report["counts"]
        if window not in self.reports:
            self.reports[window] = (counts, time.time())
        elif self.reports[window][0] != counts:
            self.fleet.fault("window %d is reported with different counts" % window)
        return 200

    def check_order(self):
        for n, (at, holder) in enumerate(self.acts):
            others = [other for _, other in self.acts[:n]]
            before = [when for when, other in self.acts[:n] if other == holder]
            if others and others[-1] != holder and before and at - before[-1] < LEASE_S:
                self.fleet.fault("%s acts again %.2f s after another" % (holder, at - before[-1]))


async def run_client(managed, number, stop, accounts_of):
    chance = random.Random(number)
    client = None
    while time.monotonic() < stop:
        if client is None or client.writer is None:
            offered = [m for m in managed if m.in_rotation] or managed
            client = plannedwork.Client(chance.choice(offered).entry)
        account = chance.choice(ACCOUNTS)
        kind = chance.choice(("book", "read", "gen"))
        path = "/%s/%d" % (kind, number)
        answer = await client.request("GET" if kind == "read" else "POST", path, 4000,
                                      headers=[("Api-Key", "key-" + account)], body=b"pallets")
        accounts_of[answer.attempt] = account
        await asyncio.sleep(0.1 * chance.random())


async def trouble(fleet, managed, interface, stop, options, chance):
    await asyncio.sleep(options.calm)
    if options.down:
        fleet.note("the interface is down")
        interface.down_until = time.monotonic() + options.down
    while options.kill and time.monotonic() < stop - 25:
        await asyncio.sleep(8 + 10 * chance.random())
        record = fleet.store.items.get("samphiresail/leader")
        leader = record.value.decode() if record else ""
        target = [m for m in managed if m.entry.name == leader] or managed
        if chance.random() < 0.5:
            fleet.note("kill %s" % target[0].entry.name)
            target[0].kill()
        else:
            fleet.note("freeze %s" % target[0].entry.name)
            target[0].entry.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(2 + 6 * chance.random())
            target[0].entry.process.send_signal(signal.SIGCONT)


def check(fleet, interface, accounts_of, began, ended, options):
    truth = collections.defaultdict(collections.Counter)
    to_wall = time.time() - time.monotonic()
    for attempt, runs in fleet.runs.items():
        first = min(runs, key=lambda run: run["at"])
        at = first["at"] + to_wall + (0.04 if "events" in first else 0.0)
        truth[int(at // WINDOW_S)][accounts_of.get(attempt, "?")] += 1
    worst, late = 0.0, 0
    for window in range(int(began // WINDOW_S) + 1, int(ended // WINDOW_S)):
        end = (window + 1) * WINDOW_S
        counts, at = interface.reports.get(window, ({}, None))
        late += at is None or at > end + LATE_S
        if at is None:
            fleet.fault("window %d has no report" % window)
            continue
        deviations = {name: counts.get(name, 0) - truth[window][name] for name in ACCOUNTS}
        worst = max([worst] + [abs(it) / max(truth[window][name], 1)
                               for name, it in deviations.items()])
        print("window %d: reported %.2f s after its end, %s, deviations %s"
              % (window, at - end, dict(truth[window]), list(deviations.values())))
    interface.check_order()
    print("worst deviation %.3f, %d windows late" % (worst, late))
    if worst > (TOLERANCE if not options.kill else 1.0) or (late and not options.down):
        fleet.fault("the reports are wrong or late")


async def play(options):
    random.seed(options.seed)
    chance = random.Random(options.seed)
    fleet = Fleet(options.program, options.record, options.entries)
    interface = Interface(fleet, options, chance)
    accounts_of = {}
    try:
        await fleet.start_store()
        if options.lose:
            fleet.store.lose_answer = lambda path, body: (
                path.startswith("/kv-txn") and chance.random() < options.lose)
        await interface.start()
        deployment.SETTINGS += (
            '[cloudApi]\naddress = "%s:%d"\nduties = ["usage_report"]\nratePerS = 20\n'
            'dutiesPerS = 5\n' % interface.address).replace("{", "{{").replace("}", "}}")
        tenants = [{"name": name, "apiKeys": ["key-" + name], "ratePerS": 1e6, "burst": 1e6}
                   for name in ACCOUNTS]
        routes = [route("book", "unsafe", "/book/", "desk", 4000, 300),
                  route("read", "safe", "/read/", "desk", 4000, 300, 2),
                  route("gen", "stream", "/gen/", "engines", 12000, 300, 2, True)]
        for it in routes:
            it["public"] = False
        services = [{"name": name, "healthPath": "/health", "maxConnections": 370,
                     "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}
                    for name in ("desk", "engines")]
        fleet.put_manifest({"version": 3, "limits": LIMITS, "tenants": tenants,
                            "routes": routes, "services": services})
        for n, zone in enumerate(("zone-a", "zone-b", "zone-c"), 1):
            fleet.add_worker(id="i-desk%d" % n, service="desk", zone=zone, slots=6, work_ms=60,
                             link_mbps=1000, queue=24)
            fleet.add_worker(id="i-engine%d" % n, service="engines", zone=zone, slots=64,
                             events=20, event_ms=40, queue=24)
        for n in range(options.entries):
            fleet.add_entry("entry-%d" % (n + 1), ("zone-a", "zone-b", "zone-c")[n % 3])
        managed = [Managed(fleet, entry) for entry in fleet.entries]
        await fleet.wait_ready()
        began = time.time()
        stop = time.monotonic() + options.seconds
        tasks = [asyncio.create_task(it.watch(stop + LATE_S + 3)) for it in managed]
        await asyncio.gather(
            *(it.probe(stop) for it in managed),
            trouble(fleet, managed, interface, stop, options, chance),
            *(run_client(managed, n, stop, accounts_of) for n in range(options.clients)))
        ended = time.time()
        await asyncio.sleep(LATE_S + 3)
        for task in tasks:
            task.cancel()
        check(fleet, interface, accounts_of, began, ended, options)
    finally:
        if options.keep_logs:
            for entry in fleet.entries:
                entry.log.flush()
            os.system("cp %s/*.log %s" % (fleet.folder, options.keep_logs))
        fleet.stop()
    print("seed %d: %d requests, %d reports, %d faults"
          % (options.seed, len(accounts_of), len(interface.reports), len(fleet.faults)))
    return 0 if not fleet.faults and accounts_of else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--clients", type=int, default=12)
    parser.add_argument("--calm", type=float, default=5.0)
    parser.add_argument("--kill", action="store_true")
    parser.add_argument("--down", type=float, default=0.0)
    parser.add_argument("--lose", type=float, default=0.0)
    parser.add_argument("--record", default=os.devnull)
    parser.add_argument("--keep-logs")
    return asyncio.run(play(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
