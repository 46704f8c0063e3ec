"""One answer of one worker never ends: the size line of its first chunk goes on and on."""
import asyncio
import os
import sys
import time

from deployment import LIMITS, CannotRun, Client, play, route

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 16
# The one endless answer of the worker comes after this many sound ones.
ENDLESS_AFTER = 200
SECONDS = 30.0
# Time limit of the requests, in milliseconds.
LIMIT_MS = 3000


async def case(d):
    await d.start_store()
    d.put_manifest({"version": 3, "limits": LIMITS, "tenants": [],
                    "routes": [route("book", "unsafe", "/book/", "desk", LIMIT_MS, 300)],
                    "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 110,
                                  "protocol": "h1", "tls": False, "coldStartS": 0.0,
                                  "coldPerS": 0.0}]})
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c"), 1):
        faulty = TROUBLE and number == 1
        d.add_worker(id="i-desk%d" % number, service="desk", zone=zone, slots=6, work_ms=200,
                     link_mbps=1000, endless=1 if faulty else 0, endless_after=ENDLESS_AFTER)
    entry = d.add_entry("entry-1", "zone-a")
    d.add_entry("entry-2", "zone-b")
    await d.wait_ready()
    await asyncio.sleep(1.0)
    answers = []
    ends = []
    stop = time.monotonic() + SECONDS

    async def watch_memory():
        """The platform kills a process above its memory and starts it again after a moment."""
        peak, noted = 0.0, 0.0
        while time.monotonic() < stop:
            used = entry.resident_mb()
            peak = max(peak, used)
            if peak > noted + 20:
                noted = peak
                d.note("entry-1 holds %.0f MB" % used)
            if used > entry.memory_mb:
                d.note("entry-1 holds %.0f MB of its %d: killed" % (used, entry.memory_mb))
                entry.kill()
                ends.append(time.monotonic())
                await asyncio.sleep(0.5)
                entry.start()
                peak = noted = 0.0
            elif entry.process.poll() is not None:
                d.note("entry-1 ended by itself")
                ends.append(time.monotonic())
                await asyncio.sleep(0.5)
                entry.start()
            await asyncio.sleep(0.01)
        d.note("entry-1 held %.0f MB at its peak since its last start" % peak)

    async def client(number):
        client = Client(entry)
        while time.monotonic() < stop:
            answer = await client.request("POST", "/book/%d" % number, LIMIT_MS, body=b"pallets")
            answers.append(answer)
            if answer.error:
                ran = [line["worker"] for line in d.runs.get(answer.attempt, [])]
                d.note("attempt %s kept=%s run by %s ended without an answer: %s" % (
                    answer.attempt, answer.kept, ran, answer.error))
                await asyncio.sleep(0.2)

    await asyncio.gather(watch_memory(), *(client(i) for i in range(CLIENTS)))
    lost = 0
    for answer in answers:
        ran = [line["worker"] for line in d.runs.get(answer.attempt, [])]
        sound = ran and all(worker != "i-desk1" for worker in ran)
        if sound and answer.kept and not answer.complete and answer.status == 0:
            lost += 1
    good = sum(1 for a in answers if a.complete and a.status == 200)
    d.note("%d attempts, %d answered with 200; entry-1 ended %d times" % (
        len(answers), good, len(ends)))
    d.note("%d requests from kept connections were run by sound workers and got no answer" % lost)
    handed_out = sum(1 for line in d.events if line["what"] == "endless")
    if good < 500 or handed_out != (1 if TROUBLE else 0):
        raise CannotRun("hardly any request was served, or the endless answer was not asked for")
    return lost <= 3


play(case, sys.argv[1])
