"""A late second refusal is taken for the answer of a later send.

Two replicas of a service. At times both are full for a moment and refuse a
request. With trouble, replica a sends its refusal a second time, late: in the
place where the next answer on that connection is expected. Half of the requests
are unsafe, half are streams that may not be resumed.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import world as w  # noqa: E402

WINDOWS = 8
WINDOW_S = 5.0  # garble: at most 5 s at a time
PAUSE_S = 2.0
PER_SECOND = 30
# Moments of a window at which both replicas are full for the next order.
FULL_AT = (2.5, 3.3, 4.1, 4.9)
SPOILT_SHARE = 0.03  # garble: of the answers of half of the replicas
WORK = 0.03
CONFIG = {
    "version": 3,
    "routes": [dict(name=name, host="shop.example",
                    path_prefix="/%s/" % name, kind=kind, timeout_ms=1500,
                    target_latency_ms=150, priority=2, service="app",
                    max_attempts=3, public=False)
               for name, kind in (("orders", "unsafe"),
                                  ("letters", "streaming"))],
    "services": [{"name": "app", "health_path": "/health", "max_conns": 100,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "dealer", "api_keys": ["key-1"], "priority": 1}],
}


class Replicas:
    def __init__(self):
        self.refused = {}  # id of a request: replicas that were full
        self.full_for = set()  # ids of requests that meet full replicas
        self.runs = {}  # id: replicas that ran it
        self.in_window = False
        self.answers = 0  # of replica a while the disruption lasts
        self.spoilt = 0

    async def behave(self, replica, request, writer, connection):
        name = request.field("leverwick-request-id")
        late = connection.pop("late", None)
        if late is not None:
            replica.record.write("replica %s sends the late second answer"
                                 % replica.id)
            writer.write(late)
        self.answers += replica.id == "a" and self.in_window
        refused = self.refused.setdefault(name, set())
        if name in self.full_for and replica.id not in refused:
            refused.add(replica.id)
            answer = w.response("503 Service Unavailable", replica.head(request)
                                + [("Leverwick-Not-Executed", "1")])
            replica.record.write("replica %s is full, refuses %s"
                                 % (replica.id, name))
            writer.write(answer)
            garbles = w.TROUBLE and replica.id == "a" and self.in_window
            if garbles and self.spoilt + 1 <= SPOILT_SHARE * self.answers:
                self.spoilt += 1
                connection["late"] = answer
            return
        self.runs.setdefault(name, []).append(replica.id)
        replica.record.write("replica %s runs %s" % (replica.id, name))
        await asyncio.sleep(WORK)
        if "/letters/" not in request.first:
            writer.write(w.response("200 OK", replica.head(request, True),
                                    b"order taken"))
            return
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        head += ["%s: %s" % item for item in replica.head(request, True)]
        event = b"id: 1\ndata: dear customer\n\n"
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode()
                     + b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))


async def play(world):
    replicas = Replicas()
    await world.start(
        [(n, "app", "hall-a", 6, replicas.behave) for n in ("a", "b")],
        CONFIG, [("front-1", "hall-a"), ("front-2", "hall-a"),
                 ("front-3", "hall-a")])
    refusals = {}

    async def order(number):
        name = "order-%04d" % number
        # Each box gets both kinds in turn.
        path = ("orders", "letters")[number // len(world.boxes) % 2]
        box = world.boxes[number % len(world.boxes)]
        world.record.write("client sends %s (%s) to %s"
                           % (name, path, box.name))
        try:
            status, fields, _ = await w.call(
                box.front, "POST /%s/new HTTP/1.1" % path,
                {"Host": "shop.example", "Leverwick-Request-Id": name,
                 "Leverwick-Deadline-Ms": "1500",
                 "Authorization": "Bearer key-1"}, b"x" * 600, 3)
        except (OSError, asyncio.TimeoutError) as error:
            world.record.write("client gets nothing for %s: %r"
                               % (name, error))
            return
        world.record.write("client gets %d for %s" % (status, name))
        if status in (408, 421, 429, 503):
            refusals[name] = (path, status)

    number = 0
    orders = []
    for _ in range(WINDOWS):
        replicas.in_window = True
        begun = asyncio.get_running_loop().time()
        moments = list(FULL_AT)
        while (at := asyncio.get_running_loop().time() - begun) < WINDOW_S:
            if moments and at >= moments[0]:
                moments.pop(0)
                replicas.full_for.add("order-%04d" % number)
            orders.append(asyncio.create_task(order(number)))
            number += 1
            await asyncio.sleep(1 / PER_SECOND)
        replicas.in_window = False
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*orders)
    broken = [name for name in refusals if name in replicas.runs]
    for name in broken:
        world.record.write("REFUSED: %s (%s) was answered %d, yet it ran at %s"
                           % (name, *refusals[name], replicas.runs[name]))
    twice = [name for name, at in replicas.runs.items() if len(at) > 1]
    for name in twice:
        world.record.write("TWICE: %s ran at %s" % (name, replicas.runs[name]))
    world.record.write(
        "%d requests, %d refused, %d of these ran; %d ran twice; replica a sent "
        "%d late second answers beside %d answers"
        % (number, len(refusals), len(broken), len(twice), replicas.spoilt,
           replicas.answers))
    return broken


w.run(FOLDER, ["hall-a", "hall-b", "hall-c"], play)
