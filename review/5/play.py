"""The site's seven machines and six replicas. Two machines of a zone are cut off
from the store, and the connections of the third one to the store are reset once.
A second later a replica leaves without a word: its entry goes, it serves on for
`drain_ms` and a little longer, and ends."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import platform_standins as p

MACHINES = ["a-1", "a-2", "a-3", "b-1", "b-2", "c-1", "c-2"]
CUT, RESET = ["a-1", "a-2"], "a-3"
REPLICAS = 6
WORK_S = 0.3
CUT_BEFORE_S, LEAVES_AFTER_S, HEALED_AFTER_S = 4.0, 0.9, 4.0
DRAIN_S = 2.0  # bounds.drain_ms
LONGER_S = 1.2  # that it serves on beyond drain_ms
CONTACT_S = 3.0  # bounds.contact_ms
CALLERS = 8
ROUNDS = 4


async def script(record, scratch, boxes):
    store = p.Store(record)
    await store.start()
    replicas = [add(record, store, number + 1) for number in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    store.put("keyed.op", "config", p.config(
        7, [p.route("order", "unsafe", "depot-app", 1500)],
        [{"name": "depot-app", "health_path": "/health", "max_conns": 100}]))
    links = {}
    for name in MACHINES:
        links[name] = p.Link(store)
        await links[name].start()
        boxes.append(p.Box(record, store, "front-hall-" + name, scratch,
                           {"zone": "hall-" + name[0],
                            "provider.address": links[name].address}))
        await boxes[-1].start()
    for box in boxes:
        if not await box.await_ready():
            raise RuntimeError("%s is not ready" % box.name)
    await asyncio.sleep(12)  # until all have read the list of machines
    asked = boxes[MACHINES.index(RESET)]
    statuses = {}
    callers = [asyncio.ensure_future(caller(record, asked, "c%d" % i, statuses))
               for i in range(CALLERS)]
    await asyncio.sleep(2)
    broken = []
    for replica in replicas[:ROUNDS]:
        broken += await one_round(record, store, links, replica)
        await asyncio.sleep(3)
    for task in callers:
        task.cancel()
    record.note("callers of %s got %s" % (asked.name, statuses))
    return broken


def add(record, store, number):
    async def respond(message, writer):
        await asyncio.sleep(WORK_S)
        writer.write(p.answer(200, "OK", replica.fields(message), b"done"))

    replica = p.Replica(record, store, "i-%d" % number, "depot-app", respond)
    return replica


async def one_round(record, store, links, replica):
    if p.with_trouble():
        for name in CUT:
            links[name].cut(True)
        record.note("%s are cut off from the store" % " and ".join(CUT))
    await asyncio.sleep(CUT_BEFORE_S)
    reset = time.monotonic()
    if p.with_trouble():
        links[RESET].reset()
        record.note("the connections of %s to the store are reset" % RESET)
    await asyncio.sleep(LEAVES_AFTER_S)
    replica.beats = False
    replica.beaten_at = float("inf")
    store.put("keyed.servers", replica.name, None)
    gone = time.monotonic()
    record.note("the entry of %s goes" % replica.name)
    await asyncio.sleep(DRAIN_S + LONGER_S)
    record.note("%s ends" % replica.name)
    replica.fall_over()
    if p.with_trouble():
        for name in CUT:
            links[name].cut(False)
        record.note("the cut heals")
    since = max(gone + DRAIN_S, reset + CONTACT_S)
    late = [time_ - gone for time_ in replica.arrivals if time_ > since]
    last = max(replica.arrivals, default=gone) - gone
    record.note("%s got its last request %.2f s after its entry had gone"
                % (replica.name, last))
    if not late:
        return []
    return ["%s got %d requests from %s later than drain_ms, up to %.2f s after its"
            " entry had gone" % (replica.name, len(late), RESET, max(late))]


async def caller(record, box, name, statuses):
    reader, writer = await asyncio.open_connection(p.HOST, box.front)
    number = 0
    while True:
        number += 1
        request_id = "%s-%d" % (name, number)
        writer.write(p.request("POST", "/order/x", request_id, 1500))
        message = await p.read_message(reader)
        if message.status != 200:
            record.note("caller gets %d for %s" % (message.status, request_id))
        statuses[message.status] = statuses.get(message.status, 0) + 1
        await asyncio.sleep(0.1)


p.play(FOLDER, script)
