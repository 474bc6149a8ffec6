"""Stand-ins for the cases of the third review: the platform's store and machine list, workers, and
clients. They follow PROTOCOL.md of the given pages. All run in one process, on loopback addresses
and the real clock; sesamepick-jobd runs as separate processes with the command of the deploy file.

A case sets the attributes of the objects to bring its disruption about: see Store.mute, Worker.reject,
Worker.dark, World.on_arrival and Cloud.before. KEEP_LOGS names a folder for the daemons' logs.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}
NO_ANSWER = object()


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.begun

    def line(self, text):
        self.file.write("%9.3f %s\n" % (self.seconds(), text))
        self.file.flush()


def free_port(address="127.0.0.1"):
    """Returns a free port below those that the kernel gives to connections."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind((address, port))
            except OSError:
                continue
            return port


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Answers HTTP/1.1 requests by self.handle, a coroutine that returns status and body."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 16)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port

    async def stop(self):
        """Ends it as a killed process does: the port is closed and all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is NO_ANSWER:
                    # Nothing further comes on this connection.
                    await reader.read()
                    break
                status, data = answer
                if not isinstance(data, bytes):
                    data = json.dumps(data, separators=(",", ":")).encode()
                    kind = "application/json"
                else:
                    kind = "application/octet-stream"
                writer.write(("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" %
                              (status, REASONS.get(status, "Other"), kind, len(data))).encode()
                             + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, query, headers, body):
        return 404, {}


class Partition:
    def __init__(self):
        self.records = []
        self.producers = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    def add(self, record):
        self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()


class Store(HttpServer):
    """The metadata store in its form of a log. mute: no call is carried out or answered."""

    APPEND_MS = 4
    PAGE = 500
    PAGE_BYTES = 1 << 20
    RECORD_BYTES = 262144
    CALL_BYTES = 2097152

    def __init__(self):
        super().__init__()
        self.partitions = {}
        self.mute = False

    def partition(self, topic, part="0"):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Writes what the operator or a worker writes."""
        data = b"" if value is None else json.dumps(value).encode()
        self.partition(topic).add(bytes([len(key)]) + key.encode() + data)

    def newest(self, topic):
        """Returns the newest value and offset of each key, without those that are dropped."""
        newest = {}
        for offset, record in enumerate(self.partition(topic).records):
            key = record[1:1 + record[0]].decode()
            newest.pop(key, None)
            if len(record) > 1 + record[0]:
                newest[key] = (record[1 + record[0]:], offset)
        return newest

    async def handle(self, method, path, query, headers, body):
        if self.mute:
            return NO_ANSWER
        topic, part = query.get("topic", ""), query.get("part", "0")
        if path == "/v1/log-append" and method == "POST":
            return await self.append(topic, part, query, body)
        if path == "/v1/log-read" and method == "GET":
            return await self.read(topic, part, query)
        if path == "/v1/log-newest" and method == "GET":
            return self.page(topic, query)
        return 404, {}

    async def append(self, topic, part, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        records, at = [], 0
        while at + 4 <= len(body):
            size = struct.unpack_from(">I", body, at)[0]
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        if at != len(body) or len(body) > self.CALL_BYTES or \
                any(len(record) > self.RECORD_BYTES for record in records):
            return 400, {}
        partition = self.partition(topic, part)
        async with partition.lock:
            await asyncio.sleep(self.APPEND_MS / 1000)
            if self.mute:
                return NO_ANSWER
            end = len(partition.records)
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            name = query.get("producer")
            if name is not None:
                epoch, sequence = int(query.get("epoch", 0)), int(query.get("sequence", 0))
                known = partition.producers.get(name)
                if known and epoch < known["epoch"]:
                    return 409, {"reason": "fenced"}
                if not known or epoch > known["epoch"]:
                    known = {"epoch": epoch, "last": None, "answers": {}}
                    partition.producers[name] = known
                elif sequence in known["answers"]:
                    return known["answers"][sequence]
                elif known["last"] is not None and sequence != known["last"] + 1:
                    return 409, {"reason": "seq", "sequence": known["last"] + 1}
                if not records:
                    return 200, {"offset": end, "end": end}
                known["last"] = sequence
            for record in records:
                partition.add(record)
            answer = 200, {"offset": end, "end": len(partition.records)}
            if name is not None:
                known["answers"][sequence] = answer
                for old in sorted(known["answers"])[:-5]:
                    del known["answers"][old]
            return answer

    async def read(self, topic, part, query):
        partition = self.partition(topic, part)
        begin, wait = int(query["from"]), int(query.get("wait_ms", 0))
        limit = int(query.get("max_kb", 1024)) * 1024
        until = now_ms() + wait
        while len(partition.records) <= begin and now_ms() < until:
            grown = partition.grown
            try:
                await asyncio.wait_for(grown.wait(), (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass
        await asyncio.sleep(0.002)
        if self.mute:
            return NO_ANSWER
        data = bytearray(struct.pack(">QQ", len(partition.records), 0))
        for record in partition.records[begin:]:
            if len(data) > 16 and len(data) + 4 + len(record) > limit:
                break
            data += struct.pack(">I", len(record)) + record
        return 200, bytes(data)

    def page(self, topic, query):
        items, size, more = [], 0, False
        newest = self.newest(topic)
        for key in sorted(newest):
            if "depends_on" in query and key <= query["depends_on"]:
                continue
            if len(items) >= self.PAGE or size > self.PAGE_BYTES:
                more = True
                break
            value, offset = newest[key]
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": more,
                     "end": len(self.partition(topic).records)}


class Run:
    def __init__(self, task, attempt, begun_ms, work_ms):
        self.task, self.attempt, self.begun_ms, self.work_ms = task, attempt, begun_ms, work_ms


class Worker(HttpServer):
    """One life of a machine. reject: run-start is answered with this status, and nothing is done.
    dark: nothing is answered."""

    HOLD_MAX_MS = 10000
    LISTED = 500

    def __init__(self, world, ident, machine, service, capacity, labels):
        super().__init__()
        self.world, self.id, self.machine, self.service = world, ident, machine, service
        self.capacity, self.labels = capacity, labels
        self.reject = None
        self.alive = False
        self.dark = False
        self.state = "ready"

    async def begin(self):
        await self.start()
        self.born = int(time.time() * 1000)
        self.zero = now_ms()
        self.alive = True
        self.sequence = 0
        self.fence = 0
        self.until = 0
        self.running, self.finished, self.stopped, self.specs = {}, [], {}, {}
        self.number = 0
        self.changed = asyncio.Event()
        self.write()
        self.loops = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.work())]

    async def go_dark(self):
        """Ends it as a crash does after which the machine doesn't respond: nothing is answered."""
        self.dark = True
        self.alive = False
        for loop in self.loops:
            loop.cancel()
        for run in list(self.running.values()):
            self.world.on_end(self, run, "lost")
        self.running = {}

    async def end(self):
        self.alive = False
        for loop in self.loops:
            loop.cancel()
        for run in list(self.running.values()):
            self.world.on_end(self, run, "lost")
        self.running = {}
        await self.stop()

    def write(self):
        self.sequence += 1
        self.world.store.put("keyed.servers", self.id, {
            "service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
            "slots": 8, "state": self.state, "cold_left_ms": 0, "capacity": self.capacity,
            "labels": self.labels, "clock_ms": self.clock(), "sequence": self.sequence,
            "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            if not self.world.store.mute:
                self.write()

    def clock(self):
        return now_ms() - self.zero

    def finish(self, run, how):
        del self.running[run.task]
        self.number += 1
        self.stopped[run.task] = max(self.stopped.get(run.task, 0), run.attempt)
        self.finished.append([self.number, run.task, run.attempt, how, ""])
        self.world.on_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock()
            for run in list(self.running.values()):
                if clock > self.until:
                    self.finish(run, "lapsed")
                elif run.work_ms and clock - run.begun_ms >= run.work_ms:
                    self.finish(run, self.world.outcome(self, run))

    def extend(self, until):
        self.until = max(self.until, min(int(until), self.clock() + self.HOLD_MAX_MS))

    def used(self, name):
        return sum(self.world.need(run.task)[name] for run in self.running.values())

    async def handle(self, method, path, query, headers, body):
        if path == "/healthz":
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body)
        if path == "/v1/run-start":
            self.world.on_arrival(self)
        if self.dark:
            return NO_ANSWER
        if path == "/v1/run-start":
            return self.run_start(call)
        if path == "/v1/run-stop":
            return self.run_stop(call)
        if path == "/v1/hold":
            return await self.hold(call)
        if path == "/v1/pace":
            return 200, {"clock_ms": self.clock()}
        return 404, {}

    def conflict(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def run_start(self, call):
        task, attempt = call["task"], call["attempt"]
        if self.reject:
            self.world.record.line("worker %s answers %d to run-start task=%s attempt=%d" %
                                   (self.id, self.reject, task, attempt))
            return self.reject, {}
        if call.get("fence", 0) < self.fence:
            return self.conflict("fence")
        self.fence = call.get("fence", 0)
        known = self.running.get(task)
        if known and known.attempt == attempt:
            return 200, {"clock_ms": self.clock()}
        if attempt <= self.stopped.get(task, 0) or (known and attempt < known.attempt):
            self.extend(call["until_ms"])
            return self.conflict("old")
        if call["until_ms"] <= self.clock():
            return self.conflict("late")
        self.extend(call["until_ms"])
        need = self.world.need(task)
        if any(self.used(name) + need[name] > self.capacity[name] for name in need):
            return self.conflict("room")
        self.running[task] = Run(task, attempt, self.clock(), self.world.work_ms(task))
        self.world.on_start(self, task, attempt, call)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, call):
        task, attempt = call["task"], call["attempt"]
        if call.get("fence", 0) < self.fence:
            return self.conflict("fence")
        self.fence = call.get("fence", 0)
        self.stopped[task] = max(self.stopped.get(task, 0), attempt)
        run = self.running.get(task)
        if run and run.attempt <= attempt:
            self.finish(run, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, call):
        if call.get("fence", 0) < self.fence:
            return self.conflict("fence")
        self.fence = call.get("fence", 0)
        cursor = call.get("ack_cursor", 0)
        for row in self.finished:
            if row[0] <= cursor:
                self.world.on_noted(self, row)
        self.finished = [row for row in self.finished if row[0] > cursor]
        if "until_ms" in call:
            self.extend(call["until_ms"])
        if not self.finished and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), min(call["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        if self.dark:
            return NO_ANSWER
        rows = []
        for run in self.running.values():
            part = 100 if not run.work_ms else \
                min(99, 100 * (self.clock() - run.begun_ms) // run.work_ms)
            rows.append([run.task, run.attempt, "", part, self.world.need(run.task)["cpu"]])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows,
                     "finished": self.finished[:self.LISTED]}


class Cloud(HttpServer):
    """The machine list. before: a coroutine that is awaited before an upkeep is carried out, and
    tells whether it is answered; None, if it isn't carried out either."""

    UPKEEP_S = 2.0

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.machines = {}
        self.waves = {}
        self.tokens = {}
        self.before = None
        # Whether fencing tokens are checked, and all orders in the order of their arrival.
        self.fencing = True
        self.orders = []
        self.upkeeps = []

    def add(self, name, service, labels, capacity, worker=None):
        self.machines[name] = {"machine": name, "pool": service, "state": "up", "zone": "zone-a",
                               "labels": labels, "capacity": capacity, "worker": worker}

    async def handle(self, method, path, query, headers, body):
        if path == "/v1/machines":
            rows = []
            for name in sorted(self.machines):
                row = dict(self.machines[name])
                worker = row.pop("worker")
                row["id"] = worker.id if worker and worker.alive else ""
                rows.append(row)
            return 200, {"machines": rows, "next_token": None}
        call = json.loads(body)
        holder = headers.get("x-duty-holder", "")
        token = int(headers.get("x-fencing-token", "0"))
        self.world.record.line("machine list gets %s %s holder=%s token=%d" %
                               (path, json.dumps(call), holder, token))
        if self.before and path == "/v1/machine-upkeep":
            answered = await self.before(call)
            if answered is None:
                return NO_ANSWER
            if not answered:
                await self.order(path, call, holder, token)
                return NO_ANSWER
        return await self.order(path, call, holder, token)

    async def order(self, path, call, holder, token):
        machine = self.machines.get(call["machine"])
        if not machine:
            return 400, {}
        self.orders.append((now_ms(), call["machine"], token, holder))
        if self.fencing and token < self.tokens.get(call["machine"], 0):
            self.world.record.line("machine list refuses token=%d for %s: fence" %
                                   (token, call["machine"]))
            return 409, {"reason": "fence"}
        self.tokens[call["machine"]] = max(token, self.tokens.get(call["machine"], 0))
        if path == "/v1/machine-move":
            return 409, {"reason": "busy"}
        wave = self.waves.get(call["wave"])
        if wave is None or call["machine"] not in wave["machines"]:
            return 409, {"reason": "wave"}
        if (call["machine"], call["wave"]) in self.upkeeps:
            return 200, {}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        down = [name for name in wave["machines"] if self.machines[name]["state"] == "upkeep"]
        self.upkeeps.append((call["machine"], call["wave"]))
        machine["state"] = "upkeep"
        self.world.on_upkeep(call["machine"], wave, down, holder)
        if machine["worker"]:
            await machine["worker"].end()
            self.world.store.put("keyed.servers", machine["worker"].id, None)
        asyncio.ensure_future(self.return_machine(machine))
        return 200, {}

    async def return_machine(self, machine):
        await asyncio.sleep(self.UPKEEP_S)
        old = machine["worker"]
        if old:
            worker = Worker(self.world, self.world.next_id(), machine["machine"], old.service,
                            old.capacity, old.labels)
            await worker.begin()
            machine["worker"] = worker
        machine["state"] = "up"


class Host:
    """One entry host: a process of sesamepick-jobd, with the command of the deploy file."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.process = None

    async def start(self):
        """Starts it, with other ports if one of them was taken meanwhile."""
        for _ in range(5):
            self.frontend, self.readiness, self.relay = free_port(), free_port(), free_port()
            await self.launch()
            await asyncio.sleep(0.2)
            if self.process.returncode is None:
                return
            self.world.record.line("host %s ended at its start" % self.name)

    async def launch(self):
        text = open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8").read()
        run = re.search(r'^run = "(.*)"$', text, re.M).group(1)
        values = {"node_name": self.name, "listen.frontend": "127.0.0.1:%d" % self.frontend,
                  "listen.readiness": "127.0.0.1:%d" % self.readiness, "ip": "127.0.0.1",
                  "port_range.0": str(self.relay), "platform.address": self.world.store.address,
                  "cloud.address": self.world.cloud.address, "limits.cpu_share": "0.25",
                  "limits.memory_mb": "260"}
        values.update(("bounds." + name, value) for name, value in self.world.bounds.items())
        run = re.sub(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}",
                     lambda m: m.group(2) if values.get(m.group(1)) else "", run)
        run = re.sub(r"\{\{\^([a-z_.]+)\}\}(.*?)\{\{/\1\}\}",
                     lambda m: "" if values.get(m.group(1)) else m.group(2), run)
        run = re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: values[m.group(1)], run)
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*run.split(), cwd=ROOT, stdout=log,
                                                            stderr=log)
        self.world.record.line("host %s started pid=%d" % (self.name, self.process.pid))

    def signal(self, number):
        self.world.record.line("host %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def leads(self):
        """Returns whether its log says that it leads."""
        path = os.path.join(self.world.folder, self.name + ".log")
        found = re.findall(r'event="(leading|leadership ended)"',
                           open(path, encoding="utf-8", errors="replace").read())
        return bool(found) and found[-1] == "leading"


class World:
    """All of a case. need, work_ms and outcome say what a task is; the case may replace them."""

    SERVICE = "desk1a"
    HOST = "desk.example"
    PREFIX = "/jobs1/"

    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.store, self.cloud = Store(), Cloud(self)
        self.workers, self.hosts, self.counter = [], [], 0
        self.steps = {}
        self.starts, self.ends, self.noted, self.upkeep_log = [], [], set(), []
        self.max_attempts = 4
        self.services = [self.SERVICE]
        # Of balapan-signup.
        self.bounds = {"stop_ms": "400", "far_factor": "1.5", "config_ms": "2000",
                       "max_skew_ms": "5000", "fencing": "true"}

    def next_id(self):
        self.counter += 1
        return "i-%08x" % (0x5a000000 + self.counter * 7919)

    def step(self, task):
        job, _, step, _ = task.split(".")
        return self.steps[job][int(step)]

    def need(self, task):
        step = self.step(task)
        return {"cpu": step.get("cpu", 0), "mem_mb": step.get("mem_mb", 0),
                "gpu": step.get("gpu", 0)}

    def work_ms(self, task):
        return self.step(task).get("estimate_ms", 0)

    def outcome(self, worker, run):
        return "done"

    def on_arrival(self, worker):
        """A start has arrived at a worker."""

    def on_start(self, worker, task, attempt, call):
        self.starts.append((now_ms(), worker.id, task, attempt))
        self.record.line("worker %s starts task=%s attempt=%d" % (worker.id, task, attempt))

    def on_end(self, worker, run, how):
        self.ends.append((now_ms(), worker.id, run.task, run.attempt, how))
        self.record.line("worker %s ends task=%s attempt=%d how=%s" %
                         (worker.id, run.task, run.attempt, how))

    def on_noted(self, worker, row):
        self.noted.add((worker.id, row[1], row[2], row[3]))

    def on_upkeep(self, machine, wave, down, holder):
        self.upkeep_log.append((now_ms(), machine, wave["wave"], list(down)))
        self.record.line("upkeep of %s begins, wave %d cap %d, down already: %s" %
                         (machine, wave["wave"], wave["cap"], ",".join(down) or "none"))

    async def begin(self, n_hosts, workers):
        """workers: rows of capacity and labels, one machine each."""
        await self.store.start()
        await self.cloud.start()
        self.put_config(1)
        for i, (capacity, labels) in enumerate(workers):
            worker = Worker(self, self.next_id(), "m-%05x" % (0xa000 + i), self.SERVICE, capacity,
                            labels)
            await worker.begin()
            self.workers.append(worker)
            self.cloud.add(worker.machine, self.SERVICE, labels, capacity, worker)
        for i in range(n_hosts):
            self.hosts.append(Host(self, "edge-zone-a-%d" % (i + 1)))
        await asyncio.gather(*(host.start() for host in self.hosts))
        await self.until(lambda: any(host.leads() for host in self.hosts), 20)
        await asyncio.sleep(3)

    def put_config(self, version):
        self.store.put("keyed.op", "config", {
            "version": version,
            "routes": [{"name": "r-1", "host": self.HOST, "path_prefix": self.PREFIX,
                        "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
                        "priority": 0, "service": self.SERVICE, "max_attempts": self.max_attempts,
                        "slack_factor": 1.6}],
            "services": [{"name": name, "admission_check": True} for name in self.services],
            "limits": {}})

    def put_wave(self, wave):
        self.cloud.waves[wave["wave"]] = wave
        self.store.put("keyed.op", "wave/%d" % wave["wave"], wave)
        self.record.line("operator writes op/wave/%d %s" % (wave["wave"], json.dumps(wave)))

    def wave_status(self, number):
        value = self.store.newest("keyed.status").get("wave/%d" % number)
        return json.loads(value[0])["state"] if value else None

    def leader(self):
        for host in self.hosts:
            if host.process.returncode is None and host.leads():
                return host
        return None

    async def until(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return bool(condition())

    async def call(self, host, method, path, body=None, timeout=3.0):
        """One call of a client. Returns status and body; (None, None) without an answer."""
        data = json.dumps(body).encode() if body is not None else b""
        answer = (None, None)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", host.frontend), timeout)
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\n"
                          "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" %
                          (method, path, self.HOST, int(timeout * 1000), len(data))).encode() + data)
            message = await asyncio.wait_for(read_message(reader), timeout)
            writer.close()
            if message:
                try:
                    parsed = json.loads(message[2]) if message[2] else {}
                except ValueError:
                    parsed = {}
                answer = (int(message[0].split(" ")[1]), parsed)
        except (OSError, asyncio.TimeoutError):
            pass
        shown = "" if body is None else " " + json.dumps(body)[:160]
        self.record.line("client %s %s at %s%s -> %s %s" %
                         (method, path, host.name, shown, answer[0], json.dumps(answer[1])))
        return answer

    async def submit(self, host, job, steps, spec="spec"):
        self.steps[job] = steps
        return await self.call(host, "POST", self.PREFIX + job, {"spec": spec, "steps": steps})

    async def state(self, host, job):
        return (await self.call(host, "GET", self.PREFIX + job))[1]

    async def end(self):
        for host in self.hosts:
            await host.stop()
        for worker in [m["worker"] for m in self.cloud.machines.values() if m["worker"]]:
            if worker.alive:
                await worker.end()
        await self.cloud.stop()
        await self.store.stop()


def main(case, need_seconds=120):
    """Runs a case, a coroutine that gets the world and whether there is trouble, and returns the
    list of what broke the rule, or None if the case couldn't run. Exits as the issue says."""
    import tempfile
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def play(logs):
        world = World(logs, record)
        try:
            return await asyncio.wait_for(case(world, trouble), need_seconds - 10)
        finally:
            await world.end()

    with tempfile.TemporaryDirectory() as logs:
        try:
            broken = asyncio.run(play(logs))
        except Exception as error:  # pylint: disable=broad-except
            record.line("the case couldn't run: %r" % error)
            print("the case couldn't run: %r" % error)
            sys.exit(2)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(logs, keep, dirs_exist_ok=True)
    if broken is None:
        record.line("the case couldn't run")
        print("the case couldn't run")
        sys.exit(2)
    for line in broken[:20]:
        record.line("BROKEN " + line)
        print("BROKEN " + line)
    record.line("broken: %d" % len(broken))
    print("broken: %d" % len(broken))
    sys.exit(1 if broken else 0)
