"""Stand-ins of the users' platform for the scripts of this review.

One event loop runs the store, the replicas and the callers; the boxes are
processes of the project's own program. Addresses are on the loopback
interface. Nothing here delays, drops or spoils anything unless a script asks
for it.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
RETRY_S = 0.02  # of a replica whose write has failed

# The settings of a small deployment (DEPLOY.md, "Settings of a process").
FIELDS = {
    "bootstrap": "false",
    "limits.cpu_share": "0.25",
    "limits.link_mbps": "1000.0",
    "bounds.config_apply_ms": "2000",
    "bounds.revoke_ms": "5000",
    "bounds.strict_revoke": "true",
    "bounds.retry_budget_ratio": "0.9",
    "bounds.session_s": "5",
    "bounds.expose_share": "0.15",
    "bounds.grace_s": "8",
    "zone": "hall-a",
    "zones": ", ".join('"hall-%s=punjab-north"' % hall for hall in "abc"),
}


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def note(self, text):
        line = "%8.3f  %s" % (time.monotonic() - self.start, text)
        self.file.write(line + "\n")
        self.file.flush()
        print(line)


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


# HTTP, as much of it as the stand-ins need.


class Message:
    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    def field(self, name):
        return self.fields.get(name.lower(), "")

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def target(self):
        return self.start.split(" ")[1]


async def read_head(reader):
    """The start line and the fields; None at the connection's end."""
    lines = []
    while True:
        line = await reader.readline()
        if not line:
            return None
        line = line.decode("latin-1").rstrip("\r\n")
        if not line:
            break
        lines.append(line)
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields, b"")


async def read_message(reader):
    message = await read_head(reader)
    if message is None:
        return None
    if message.field("transfer-encoding").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            message.body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return message
    length = int(message.field("content-length") or 0)
    message.body = await reader.readexactly(length)
    return message


def answer(status, reason, fields, body=b""):
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


# The store: keyed topics of one partition each.


class Topic:
    def __init__(self):
        self.records = []  # (key, value or None); the offset is the index
        self.times = []  # when each record was added
        self.grown = asyncio.Event()

    def add(self, key, value):
        self.records.append((key, value))
        self.times.append(time.monotonic())
        self.grown.set()
        self.grown = asyncio.Event()

    def newest(self):
        newest = {}
        for offset, (key, value) in enumerate(self.records):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (value, offset)
        return newest


class Store:
    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.port = None
        self.serves = True  # False: every call is answered by a reset
        self.era = 1
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    def go_away(self):
        self.serves = False
        for writer in self.writers:
            writer.transport.abort()

    def come_back(self, copied_at):
        """From a copy that was made at this time (letter 7)."""
        for topic in self.topics.values():
            kept = sum(1 for at in topic.times if at <= copied_at)
            del topic.records[kept:], topic.times[kept:]
        self.era += 1
        self.serves = True

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        text = None if value is None else json.dumps(value, separators=(",", ":")).encode()
        self.topic(topic).add(key.encode(), text)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                reply = await self.handle(request) if self.serves else None
                if reply is None or not self.serves:
                    writer.transport.abort()
                    break
                era = b"\r\nStore-Era: %d\r\n" % self.era
                writer.write(reply.replace(b"\r\n", era, 1))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def handle(self, request):
        path, _, query = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        topic = self.topic(query.get("topic", ""))
        if path == "/log-append":
            return self.append(topic, query, request.body)
        if path == "/log-read":
            return await self.read(topic, query)
        if path == "/log-newest":
            items = [
                {"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in topic.newest().items()
            ]
            page = {"items": items, "more": False, "end": len(topic.records)}
            return answer(200, "OK", [], json.dumps(page).encode())
        return answer(404, "Not Found", [])

    def append(self, topic, query, body):
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return answer(412, "Precondition", [], json.dumps({"end": end}).encode())
        at = 0
        while at < len(body):
            size = struct.unpack(">I", body[at : at + 4])[0]
            raw = body[at + 4 : at + 4 + size]
            at += 4 + size
            key = raw[1 : 1 + raw[0]]
            topic.add(key, raw[1 + raw[0] :] or None)
        done = {"offset": end, "end": len(topic.records)}
        return answer(200, "OK", [], json.dumps(done).encode())

    async def read(self, topic, query):
        source = int(query["source"])
        if source > len(topic.records):
            return answer(410, "Gone", [], json.dumps({"first": 0}).encode())
        wait = int(query.get("wait_ms", 0)) / 1000
        until = time.monotonic() + wait
        while len(topic.records) <= source and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.grown.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[source:]:
            raw = bytes([len(key)]) + key + (value or b"")
            body += struct.pack(">I", len(raw)) + raw
        return answer(200, "OK", [], body)


class Link:
    """A proxy between a machine and the store."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self.accept, HOST, 0)
        self.address = "%s:%d" % (HOST, server.sockets[0].getsockname()[1])

    def reset(self):
        for writer in self.writers:
            writer.transport.abort()

    def cut(self, is_cut):
        self.is_cut = is_cut
        if is_cut:
            self.reset()

    async def accept(self, reader, writer):
        if self.is_cut:
            writer.transport.abort()
            return
        store_reader, store_writer = await asyncio.open_connection(HOST, self.store.port)
        self.writers |= {writer, store_writer}
        await asyncio.gather(self.copy(reader, store_writer),
                             self.copy(store_reader, writer))
        self.writers -= {writer, store_writer}

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


# Replicas.


class Replica:
    """Answers each request through `respond(request, writer)`, a coroutine."""

    def __init__(self, record, store, name, service, respond, slots=6, zone="hall-a"):
        self.zone = zone
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.respond = respond
        self.slots = slots
        self.seq = 0
        self.runs = {}  # by request id
        self.beats = True
        self.cold_until = 0.0
        self.arrivals = []  # times
        self.writers = set()
        self.on_request = None  # called with the id and the connection

    async def start(self, cold_s=0.0):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.turn_cold(cold_s)
        asyncio.ensure_future(self.keep_beating())

    # Tells at once that it is cold, and for how long.
    def turn_cold(self, cold_s):
        self.cold_until = time.monotonic() + cold_s
        self.beat()

    def beat(self, state="ready"):
        if not self.store.serves:
            return False
        self.seq += 1
        entry = {
            "service": self.service,
            "address": "%s:%d" % (HOST, self.port),
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": max(0, round(1000 * (self.cold_until - time.monotonic()))),
            "seq": self.seq,
        }
        self.store.put("keyed.servers", self.name, entry)
        self.beaten_at = time.monotonic()
        return True

    # Writes every `heartbeat_ms`; a write that fails is soon tried again. The
    # store drops an entry after three heartbeats of silence.
    async def keep_beating(self):
        lapsed = False
        while True:
            silence = time.monotonic() - self.beaten_at
            if silence > 3 * HEARTBEAT_S and not lapsed:
                lapsed = True
                self.store.put("keyed.servers", self.name, None)
                self.record.note("the entry of %s lapses" % self.name)
            if self.beats and silence >= HEARTBEAT_S and self.beat() and lapsed:
                lapsed = False
                self.record.note("the entry of %s is back" % self.name)
            await asyncio.sleep(RETRY_S)

    # Its process ends: all connections are reset, and its entry lapses.
    def fall_over(self):
        self.beats = False
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                expected = request.field("Leverwick-Expect-Replica")
                if expected and expected != self.name:
                    writer.write(answer(421, "Misdirected", []))
                    continue
                request_id = request.field("Leverwick-Request-Id")
                self.runs[request_id] = self.runs.get(request_id, 0) + 1
                self.arrivals.append(time.monotonic())
                if self.on_request:
                    self.on_request(request_id, writer)
                self.record.note("replica %s runs %s" % (self.name, request_id))
                await self.respond(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.writers.discard(writer)
        writer.close()

    def fields(self, request):
        request_id = request.field("Leverwick-Request-Id")
        return [
            ("Leverwick-Request-Id", request_id),
            ("Leverwick-Replica-Stamp", "%s.%s" % (self.name, request_id)),
        ]


# Boxes.


def fill_template(fields):
    """The platform's filling of deploy/box.yaml.template."""
    with open(os.path.join(ROOT, "deploy", "box.yaml.template")) as file:
        text = file.read()
    text = text.replace('{{#zones}}"{{@}}={{.}}"{{,}}{{/zones}}', fields["zones"])
    block = re.compile(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    while block.search(text):
        text = block.sub(lambda m: m.group(2) if fields.get(m.group(1)) else "", text)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: fields.get(m.group(1), ""), text)


def run_command(settings):
    """The command of deploy/system.toml, with the settings' own path."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        run = re.search(r'^run = "(.*)"', file.read(), re.M).group(1)
    return [settings if part.startswith("/etc/") else part for part in run.split()]


class Box:
    def __init__(self, record, store, name, folder, more=None):
        self.record = record
        self.name = name
        self.folder = folder
        self.front = free_port()
        self.ready = free_port()
        ports = [free_port(), free_port()]
        self.fields = dict(FIELDS)
        self.fields.update(
            {
                "node": name,
                "ip": HOST,
                "listen.front": "%s:%d" % (HOST, self.front),
                "listen.ready": "%s:%d" % (HOST, self.ready),
                "port_range.0": str(ports[0]),
                "port_range.1": str(ports[1]),
                "provider.address": store.address,
            }
        )
        self.fields.update(more or {})
        self.process = None

    async def start(self):
        settings = os.path.join(self.folder, self.name + ".conf")
        with open(settings, "w") as file:
            file.write(fill_template(self.fields))
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *run_command(settings), cwd=ROOT, stdout=log, stderr=log
        )
        self.record.note("%s starts" % self.name)

    def send_signal(self, number):
        self.record.note("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        try:
            message = await asyncio.wait_for(read_message(reader), 1)
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            message = None
        writer.close()
        return message is not None and message.status == 200

    async def await_ready(self, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def owns_port(self, port):
        """Whether the process has a connection with this port of its own. A
        server sees a machine by its address; here all share one address."""
        inodes = set()
        with open("/proc/net/tcp") as file:
            for line in file.readlines()[1:]:
                fields = line.split()
                if int(fields[1].split(":")[1], 16) == port:
                    inodes.add("socket:[%s]" % fields[9])
        folder = "/proc/%d/fd" % self.process.pid
        for name in os.listdir(folder):
            try:
                if os.readlink(os.path.join(folder, name)) in inodes:
                    return True
            except OSError:
                continue  # closed meanwhile
        return False

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()


def config(version, routes, services, keys=("key-1",)):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": list(keys)}],
    }


def route(name, kind, service, timeout_ms, attempts=1, **more):
    return dict(
        name=name,
        host="app.example",
        path_prefix="/%s/" % name,
        kind=kind,
        service=service,
        timeout_ms=timeout_ms,
        target_latency_ms=more.pop("target_latency_ms", 500),
        max_attempts=attempts,
        **more
    )


def request(method, path, request_id, deadline_ms, key="key-1"):
    return (
        "%s %s HTTP/1.1\r\nHost: app.example\r\n"
        "Leverwick-Request-Id: %s\r\nLeverwick-Deadline-Ms: %d\r\n"
        "Authorization: Bearer %s\r\n%s\r\n"
        % (method, path, request_id, deadline_ms, key,
           "" if method == "GET" else "Content-Length: 0\r\n")
    ).encode()


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder, script, limit=110):
    """Runs `script(record, temporary folder, boxes)` and exits: 1 if it returns
    broken promises, 0 if it returns none, 2 if it could not run."""

    async def run():
        # What still waits at the end is cancelled; that is no fault.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        record = Record(folder)
        record.note("with the disruption" if with_trouble() else "without the disruption")
        boxes = []
        with tempfile.TemporaryDirectory() as scratch:
            try:
                broken = await asyncio.wait_for(script(record, scratch, boxes), limit)
            except Exception as error:  # whatever it is, the case did not run
                record.note("could not run: %r" % error)
                return 2
            finally:
                for box in boxes:
                    await box.end()
        for line in broken:
            record.note("BROKEN: " + line)
        record.note("the rule is broken" if broken else "the rule holds")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
