"""Stand-ins for the users' platform: the metadata store, the machine list and the workers.

They follow PROTOCOL.md for what jobd uses on a deployment whose workers are called ("invocation").
Everything runs in one event loop; times are milliseconds of the monotonic clock.
"""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, unquote, urlsplit

NO_ANSWER = object()  # The caller gets no response; its connection stays open.
RESET = object()  # The caller's connection is closed without a response.

FINISHED_MAX = 500  # "The others are returned again (500 at a time)."
NEWEST_MAX = 500
HOLD_MAX_MS = 10000


def now_ms():
    return time.monotonic() * 1000.0


def wall_ms():
    return int(time.time() * 1000)


def pack(value):
    return json.dumps(value, separators=(",", ":")).encode()


class HttpServer:
    """Serves one request after the other on each connection. handle(request) is a coroutine that
    returns (status, body) or NO_ANSWER or RESET."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    async def stop(self):
        """Closes the port and resets all connections, as when the process is killed."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handle(
                    Request(method, unquote(url.path), query, headers, body)
                )
                if answer is NO_ANSWER:
                    await reader.read()
                    return
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, payload = answer
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(payload))
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Request:
    def __init__(self, method, path, query, headers, body):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, content):
        offset = len(self.records)
        self.records.append(content)
        key_len = content[0]
        key, value = content[1 : 1 + key_len], content[1 + key_len :]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """The platform's log. mode is "up", or while it is down "silent", "busy" or "reset"."""

    APPEND_MS = 4.0

    def __init__(self, note):
        self.note = note
        self.partitions = {}
        self.mode = "up"
        self.http = HttpServer(self.handle)

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """Writes a record of the operator or of a worker."""
        text = pack(value) if value is not None else b""
        name = key.encode()
        self.partition(topic).add(bytes([len(name)]) + name + text)

    def down(self):
        return {"silent": NO_ANSWER, "reset": RESET, "busy": (503, b"{}")}.get(self.mode)

    async def handle(self, request):
        if self.mode != "up":
            return self.down()
        path = request.path
        if path == "/v1/log-append":
            return await self.append(request)
        if path == "/v1/log-read":
            return await self.read(request)
        if path == "/v1/log-newest":
            return self.read_newest(request)
        return 404, b"{}"

    async def append(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        async with partition.lock:
            await asyncio.sleep(self.APPEND_MS / 1000)
            # An append that waited while the store went down has not been done.
            if self.mode != "up":
                return self.down()
            return self.carry_out_append(partition, query, request.body)

    @staticmethod
    def carry_out_append(partition, query, body):
        producer = query.get("producer")
        state = None
        if producer:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = partition.producers.get(producer)
            if state and epoch < state["epoch"]:
                return 409, pack({"reason": "fenced"})
            if not state or epoch > state["epoch"]:
                state = {"epoch": epoch, "next": sequence, "last": {}}
                partition.producers[producer] = state
            if sequence in state["last"]:
                return 200, state["last"][sequence]
            if sequence != state["next"]:
                return 409, pack({"reason": "seq", "sequence": state["next"]})
        first, at = len(partition.records), 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            partition.add(body[at + 4 : at + 4 + length])
            at += 4 + length
        answer = pack({"offset": first, "end": len(partition.records)})
        if state:
            state["next"] = sequence + 1
            state["last"][sequence] = answer
            while len(state["last"]) > 5:
                del state["last"][min(state["last"])]
        return 200, answer

    async def read(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        start, until = int(query["from"]), now_ms() + float(query.get("wait_ms", "0"))
        limit = int(query.get("max_kb", "1024")) * 1024
        while start >= len(partition.records) and now_ms() < until:
            try:
                await asyncio.wait_for(partition.changed.wait(), (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass
        if self.mode != "up":
            return self.down()
        parts, size = [struct.pack(">qq", len(partition.records), 0)], 0
        for content in partition.records[start:]:
            if size + len(content) > limit and size > 0:
                break
            parts.append(struct.pack(">I", len(content)) + content)
            size += len(content)
        return 200, b"".join(parts)

    def read_newest(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        after = query.get("depends_on", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:NEWEST_MAX]
        ]
        return 200, pack(
            {"items": items, "has_more": len(keys) > NEWEST_MAX, "end": len(partition.records)}
        )


class Machine:
    def __init__(self, name, pool, rack, capacity):
        self.name = name
        self.pool = pool
        self.rack = rack
        self.capacity = capacity
        self.state = "up"
        self.worker = None
        self.token = 0
        self.waves = set()


class MachineList:
    """The list of machines, and the orders that move or maintain them."""

    def __init__(self, note):
        self.note = note
        self.machines = {}
        self.http = HttpServer(self.handle)

    def add(self, machine):
        self.machines[machine.name] = machine

    async def handle(self, request):
        if request.method == "GET":
            rows = [
                {
                    "machine": m.name,
                    "pool": m.pool,
                    "state": m.state,
                    "zone": "z-a",
                    "labels": (m.worker.labels if m.worker else ["a", m.rack]),
                    "capacity": m.capacity,
                    **({"id": m.worker.name} if m.worker else {}),
                }
                for m in self.machines.values()
            ]
            return 200, pack({"machines": rows, "next_token": None})
        return await self.order(request)

    async def order(self, request):
        return 400, b"{}"


class Run:
    def __init__(self, task, attempt, cpu, mem_mb):
        self.task = task
        self.attempt = attempt
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.saved = ""
        self.timer = None
        self.started = now_ms()
        self.length_ms = 1.0


class Worker:
    """One life of a machine. A worker that starts again under its name is a new object.

    job_of(spec) tells what a task is: a dict with cpu, mem_mb, ms."""

    HEARTBEAT_MS = 1500
    STOP_MS = 100

    def __init__(self, store, note, machine, name, labels, job_of):
        self.store = store
        self.note = note
        self.machine = machine
        self.name = name
        self.labels = labels
        self.job_of = job_of
        self.born = wall_ms()
        self.begun = now_ms()
        self.fence = 0
        self.lease_end = -1.0
        self.runs = {}
        self.ended = {}
        self.finished = []
        self.n_finished = 0
        self.acked = 0
        self.sequence = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.tasks = []
        self.alive = True
        self.lease_timer = None

    def clock(self):
        return int(now_ms() - self.begun)

    async def start(self, ip, port=0):
        address = await self.http.start(ip, port)
        self.machine.worker = self
        self.register()
        self.tasks.append(asyncio.ensure_future(self.register_often()))
        self.note("worker-up", worker=self.name, born=self.born, labels=self.labels)
        return address

    async def kill(self):
        """The process is gone; nothing of it answers any more."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        if self.lease_timer:
            self.lease_timer.cancel()
        for run in self.runs.values():
            run.timer.cancel()
            self.note("lost", worker=self.name, born=self.born, task=run.task, attempt=run.attempt)
        self.runs.clear()
        await self.http.stop()
        self.note("worker-down", worker=self.name, born=self.born)

    async def register_often(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT_MS / 1000)
            self.register()

    def register(self):
        self.sequence += 1
        self.store.put(
            "keyed.servers",
            self.name,
            {
                "service": self.machine.pool,
                "address": self.http.address,
                "zone": "z-a",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
                "capacity": self.machine.capacity,
                "labels": self.labels,
            },
        )

    def used(self, name):
        return sum(getattr(run, name) for run in self.runs.values())

    def extend_lease(self, until):
        if until is None:
            return
        self.lease_end = max(self.lease_end, min(float(until), self.clock() + HOLD_MAX_MS))
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_event_loop().call_later(
            max(self.lease_end - self.clock(), 0) / 1000 + 0.001, self.check_lease
        )

    def check_lease(self):
        if self.clock() >= self.lease_end:
            self.note("lapse", worker=self.name, born=self.born, runs=len(self.runs))
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        run.timer.cancel()
        del self.runs[run.task]
        self.ended[run.task] = max(self.ended.get(run.task, 0), run.attempt)
        self.n_finished += 1
        self.finished.append([self.n_finished, run.task, run.attempt, how, run.saved])
        self.note(
            "end",
            worker=self.name,
            born=self.born,
            task=run.task,
            attempt=run.attempt,
            how=how,
            number=self.n_finished,
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def reject(self, reason):
        return 409, pack({"clock_ms": self.clock(), "reason": reason})

    def accept(self):
        return 200, pack({"clock_ms": self.clock()})

    async def handle(self, request):
        if not self.alive:
            return RESET
        wanted = request.headers.get("x-expect-instance")
        if wanted and wanted != self.name:
            return 421, b"{}"
        return await self.carry_out(request.path, request.json())

    async def carry_out(self, path, body):
        if body.get("fence", 0) < self.fence:
            return self.reject("fence")
        self.fence = body.get("fence", 0)
        if path == "/v1/run-start":
            return self.run_start(body)
        if path == "/v1/run-stop":
            return self.run_stop(body)
        if path == "/v1/hold":
            return await self.hold(body)
        if path == "/v1/pace":
            return self.accept()
        return 404, b"{}"

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get(task)
        if run and run.attempt == attempt:
            self.extend_lease(body.get("until_ms"))
            return self.accept()
        if attempt <= self.ended.get(task, 0) or run:
            self.extend_lease(body.get("until_ms"))
            return self.reject("old")
        job = self.job_of(body["spec"])
        if (
            self.used("cpu") + job["cpu"] > self.machine.capacity["cpu"]
            or self.used("mem_mb") + job["mem_mb"] > self.machine.capacity["mem_mb"]
        ):
            self.extend_lease(body.get("until_ms"))
            return self.reject("room")
        if body.get("until_ms", 0) <= self.clock():
            return self.reject("late")
        self.extend_lease(body.get("until_ms"))
        run = Run(task, attempt, job["cpu"], job["mem_mb"])
        run.length_ms = job["ms"]
        run.timer = asyncio.get_event_loop().call_later(job["ms"] / 1000, self.end, run, "done")
        self.runs[task] = run
        self.note(
            "start",
            worker=self.name,
            born=self.born,
            labels=self.labels,
            task=task,
            attempt=attempt,
            spec=body["spec"],
            fence=body.get("fence", 0),
        )
        return self.accept()

    def run_stop(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get(task)
        self.ended[task] = max(self.ended.get(task, 0), attempt)
        if run and run.attempt == attempt:
            run.timer.cancel()
            run.timer = asyncio.get_event_loop().call_later(
                self.STOP_MS / 1000, self.end, run, "stopped"
            )
        return self.accept()

    async def hold(self, body):
        self.extend_lease(body.get("until_ms"))
        cursor = body.get("ack_cursor", 0)
        if cursor > self.acked:
            self.acked = cursor
            self.note("ack", worker=self.name, born=self.born, cursor=cursor)
        self.finished = [row for row in self.finished if row[0] > cursor]
        until = now_ms() + min(body.get("wait_ms", 0), 2000)
        while not self.finished and now_ms() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, pack(
            {
                "clock_ms": self.clock(),
                "born": self.born,
                "running": [
                    [
                        run.task,
                        run.attempt,
                        run.saved,
                        min(int((now_ms() - run.started) * 100 / run.length_ms), 99),
                        run.cpu,
                    ]
                    for run in self.runs.values()
                ],
                "finished": self.finished[:FINISHED_MAX],
            }
        )
