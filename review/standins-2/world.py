"""A small deployment on loopback addresses for the scripts of this review.

Boxes are the project's own program, started with the command of the deploy
file and settings like those of deploy/box.yaml.template. The store, the
replicas and the clients are stand-ins that do what the users' pages say.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def field(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    """The first line and the headers; None if the connection has ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, sign, value = line.partition(":")
        if sign:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """One chunk of a body; b"" is the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body)


def response(status, headers, body=b""):
    lines = ["HTTP/1.1 %s" % status]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self):
        self.topics = {}
        self.news = asyncio.Event()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        data = None if value is None else json.dumps(value).encode()
        return self.append(topic, key, data)

    def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.news.set()
        self.news = asyncio.Event()
        return len(records) - 1

    async def serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def answer(self, request):
        target = urllib.parse.urlsplit(request.first.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        if target.path == "/log-append":
            return self.on_append(topic, query, request.body)
        if target.path == "/log-read":
            return await self.on_read(topic, query)
        if target.path == "/log-newest":
            return self.on_newest(topic)
        return response("404 Not Found", [])

    def on_append(self, topic, query, body):
        records = self.topics.setdefault(topic, [])
        if "at" in query and int(query["at"]) != len(records):
            return self.json("412 Precondition Failed", {"end": len(records)})
        offset, at = len(records), 0
        while at < len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            record = body[at + 4:at + 4 + size]
            at += 4 + size
            key = record[1:1 + record[0]].decode()
            self.append(topic, key, record[1 + record[0]:] or None)
        return self.json("200 OK", {"offset": offset, "end": len(records)})

    async def on_read(self, topic, query):
        source = int(query.get("source", 0))
        end_of_wait = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(self.topics.get(topic, [])) <= source:
            left = end_of_wait - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.news.wait(), left)
            except asyncio.TimeoutError:
                pass
        records = self.topics.get(topic, [])
        raw = struct.pack(">QQ", len(records), 0)
        for key, value in records[source:]:
            record = bytes([len(key)]) + key.encode() + (value or b"")
            raw += struct.pack(">I", len(record)) + record
        return response("200 OK", [], raw)

    def on_newest(self, topic):
        records = self.topics.get(topic, [])
        newest = {key: (value, i) for i, (key, value) in enumerate(records)}
        items = [{"key": key, "value": base64.b64encode(value).decode(),
                  "offset": i}
                 for key, (value, i) in sorted(newest.items())
                 if value is not None]
        return self.json("200 OK", {"items": items, "more": False,
                                    "end": len(records)})

    @staticmethod
    def json(status, value):
        return response(status, [("Content-Type", "application/json")],
                        json.dumps(value).encode())


class Replica:
    """A replica that writes its entry and answers as `behave` says.

    behave(replica, request, writer, connection) is awaited for each request;
    `connection` is a dictionary that lives as long as the connection does.
    """

    def __init__(self, store, record, identity, service, zone, slots, behave):
        self.store, self.record, self.id = store, record, identity
        self.service, self.zone, self.slots = service, zone, slots
        self.behave = behave
        self.sequence = 0
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("keyed.servers", self.id, {
                "service": self.service, "address": "127.0.0.1:%d" % self.port,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "ready", "cold_remaining_ms": 0,
                "seq": self.sequence})
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        connection = {}
        self.connections.add(writer)
        try:
            while request := await read_request(reader):
                if request.field("leverwick-expect-replica") not in ("",
                                                                     self.id):
                    writer.write(response("421 Misdirected Request",
                                          self.head(request)))
                else:
                    await self.behave(self, request, writer, connection)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.connections.discard(writer)
        writer.close()

    def head(self, request, signed=False):
        fields = [("Leverwick-Request-Id",
                   request.field("leverwick-request-id"))]
        if signed:
            fields.append(("Leverwick-Replica-Stamp", "stamp." + self.id))
        return fields


class Box:
    """One process of the system, started as the deploy file says."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        ports = free_ports(4)
        self.front, self.ready, self.control, self.peers = ports
        self.process = None

    def settings(self):
        zones = ",".join('"%s=region"' % z for z in self.world.zones)
        return """box:
  name: %s
  data_centre: %s
  regions: [%s]
  first_start: true
  cores: 0.25
  link: 1000.0
listen:
  callers: 127.0.0.1:%d
  ready: 127.0.0.1:%d
  control: 127.0.0.1:%d
  metrics: 127.0.0.1:%d
  peers: 127.0.0.1:%d
platform:
  kind: keyed_store
  address: %s
table:
  proof_age: 5000ms
  strict_withdrawal: true
  in_force: 2000ms
requests:
  retry_limit: 0.9
  session_pause: 5s
  exposed_share: 0.15
stop:
  bound: 8s
""" % (self.name, self.zone, zones, self.front, self.ready, self.control,
       self.control, self.peers, self.world.store.address)

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(self.settings())
        log = open(os.path.join(self.world.folder, self.name + ".log"), "w")
        self.process = subprocess.Popen(
            ["target/leverwickd", "--config", path], cwd=ROOT, stdout=log,
            stderr=subprocess.STDOUT,
            env={k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                 if k in os.environ})

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET /ready HTTP/1.1", {},
                                      b"", 2)
            return status == 200
        except (OSError, asyncio.TimeoutError, ValueError):
            return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Connection:
    """A client's connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(port):
        return Connection(*await asyncio.open_connection("127.0.0.1", port))

    async def send(self, first, headers, body):
        lines = [first] + ["%s: %s" % item for item in headers.items()]
        lines.append("Content-Length: %d" % len(body))
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def read_head(self):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("closed before an answer")
        return int(head[0].split(" ")[1]), head[1]

    async def read_body(self, headers):
        if headers.get("transfer-encoding") != "chunked":
            return await self.reader.readexactly(
                int(headers.get("content-length", "0")))
        body = b""
        while chunk := await read_chunk(self.reader):
            body += chunk
        return body

    def close(self):
        self.writer.close()


async def call(port, first, headers, body, limit):
    """Status, headers and body of one request on a new connection."""

    async def run():
        connection = await Connection.open(port)
        try:
            await connection.send(first, headers, body)
            status, fields = await connection.read_head()
            return status, fields, await connection.read_body(fields)
        finally:
            connection.close()

    return await asyncio.wait_for(run(), limit)


class World:
    def __init__(self, case_folder, zones):
        self.case_folder = case_folder
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="leverwick-review-")
        self.zones = zones
        self.boxes = []
        self.replicas = []

    async def start(self, replicas, config, boxes):
        """replicas: (id, service, zone, slots, behave); boxes: (name, zone)."""
        if not os.path.exists(os.path.join(ROOT, "target/leverwickd")):
            raise CannotRun("target/leverwickd is not built")
        self.store = Store()
        await self.store.start()
        self.store.put("keyed.op", "config", config)
        for entry in replicas:
            replica = Replica(self.store, self.record, *entry)
            await replica.start()
            self.replicas.append(replica)
        for name, zone in boxes:
            box = Box(self, name, zone)
            box.start()
            self.boxes.append(box)
        end = time.monotonic() + 30
        for box in self.boxes:
            while not await box.is_ready():
                if time.monotonic() > end:
                    raise CannotRun("a box is not ready in time")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2)  # each box has read the list of boxes

    def stop(self):
        for box in self.boxes:
            box.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case_folder, zones, play):
    """Plays a case within 115 s and exits as the review asks."""

    async def main():
        world = World(case_folder, zones)
        world.record.write("trouble: %s" % ("yes" if TROUBLE else "no"))
        try:
            broken = await asyncio.wait_for(play(world), 110)
            code = BROKEN if broken else HELD
        except Exception as error:  # whatever a stand-in stumbles over
            world.record.write("the case could not run: %r" % error)
            code = NOT_RUN
        finally:
            world.stop()
        world.record.write(
            "result: %s" % ["the rule held", "THE RULE WAS BROKEN",
                            "could not run"][code])
        os._exit(code)  # the stand-ins' tasks end with the process

    asyncio.run(main())
