"""Two machines in two regions. A route may be served in one of them only, where
one of the service's seven replicas stands. This replica sheds some of its
requests, as one that is full does."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import platform_standins as p

HOME_ZONE, OTHER_ZONE = "marmara-a", "ege-a"
SHED_SHARE = 0.4  # of the requests of one replica of seven
REQUESTS = 100
SITE = {
    "zones": '"marmara-a=marmara", "ege-a=ege"',
    "bounds.config_apply_ms": "4000",
}


async def script(record, scratch, boxes):
    store = p.Store(record)
    await store.start()
    arrivals = []  # (request, machine that sent it to a replica)
    asked = {"shed": False, "count": 0}

    def add(name, zone):
        async def respond(message, writer):
            request_id = message.field("Leverwick-Request-Id")
            asked["count"] += 1
            sheds = asked["count"] % 10 < 10 * SHED_SHARE
            if asked["shed"] and sheds and replica.runs[request_id] == 1:
                replica.runs[request_id] = 0
                record.note("replica %s sheds %s" % (name, request_id))
                writer.write(p.answer(503, "Full", [
                    ("Leverwick-Request-Id", request_id),
                    ("Leverwick-Not-Executed", "1")]))
                return
            await asyncio.sleep(0.03)
            writer.write(p.answer(200, "OK", replica.fields(message), b"done"))

        def seen(request_id, writer):
            port = writer.get_extra_info("peername")[1]
            senders = [box.name for box in boxes if box.owns_port(port)]
            arrivals.append((request_id, name, senders))

        replica = p.Replica(record, store, name, "odeme", respond, zone=zone)
        replica.on_request = seen
        return replica

    replicas = [add("i-1", HOME_ZONE)] + [add("i-%d" % n, OTHER_ZONE) for n in range(2, 8)]
    for replica in replicas:
        await replica.start()
    store.put("keyed.op", "config", p.config(
        7, [p.route("read", "safe", "odeme", 1200, attempts=2,
                    allowed_regions=["marmara"])],
        [{"name": "odeme", "health_path": "/health", "max_conns": 410}]))
    for zone in (HOME_ZONE, OTHER_ZONE):
        boxes.append(p.Box(record, store, "front-%s-1" % zone, scratch,
                           dict(SITE, zone=zone)))
        await boxes[-1].start()
        await asyncio.sleep(0.5)
    for box in boxes:
        if not await box.await_ready():
            raise RuntimeError("%s is not ready" % box.name)
    await asyncio.sleep(15)  # until both have read the list of machines
    asked["shed"] = p.with_trouble()
    home, other = boxes
    statuses = {}
    reader, writer = await asyncio.open_connection(p.HOST, home.front)
    for number in range(REQUESTS):
        request_id = "read-%d" % number
        writer.write(p.request("GET", "/read/x", request_id, 1200))
        message = await asyncio.wait_for(p.read_message(reader), 5)
        statuses[message.status] = statuses.get(message.status, 0) + 1
        await asyncio.sleep(0.05)
    record.note("the caller at %s got %s" % (home.name, statuses))
    for request_id, name, senders in arrivals:
        record.note("%s reached %s from %s" % (request_id, name, ",".join(senders)))
    strays = sorted({r for r, _, senders in arrivals if other.name in senders})
    if not strays:
        return []
    return ["%d of %d requests that may stay in marmara only were sent to %s in ege,"
            " which sent them on: %s" % (len(strays), REQUESTS, other.name,
                                        " ".join(strays[:5]))]


p.play(FOLDER, script)
