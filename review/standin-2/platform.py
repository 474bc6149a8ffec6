#!/usr/bin/env python3
"""Stand-ins for the platform of the review's scripts, on loopback and the real clock.

    platform.py store PORT FILE     the store and the machine list (on PORT and PORT + 1)
    platform.py worker PORT FILE    one worker; FILE holds its description as JSON

They follow the published protocol: the store checks producers, epochs, sequences and the size of
records, and the workers check fences, attempts, leases and room. What they do is counted in a file
beside FILE (FILE.events), one JSON object a line.
"""

import asyncio
import base64
import heapq
import json
import sys
import time
import zlib
from urllib.parse import parse_qsl, unquote

RECORD_BYTES = 262144
CALL_BYTES = 2097152
APPEND_S = 0.004
HOLD_MAX_MS = 10000
STOP_S = 0.1
SAVE_MS = 500
RESTORE_MS = 600
ENDS_LISTED = 500
DOWN_S = 1.5
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Connection(asyncio.Protocol):
    """One HTTP/1.1 connection; the handler gets (method, path, query, headers, body, reply)."""

    def __init__(self, handle, server):
        self.handle = handle
        self.server = server
        self.data = b""
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        if getattr(self.server, "down", False):
            transport.abort()
        elif hasattr(self.server, "connections"):
            self.server.connections.add(self)

    def connection_lost(self, error):
        self.transport = None
        if hasattr(self.server, "connections"):
            self.server.connections.discard(self)

    def data_received(self, data):
        self.data += data
        while True:
            end = self.data.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.data[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if headers.get("expect", "").lower() == "100-continue" and length > 0 and \
                    len(self.data) == end + 4:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if len(self.data) < end + 4 + length:
                return
            body = self.data[end + 4:end + 4 + length]
            self.data = self.data[end + 4 + length:]
            method, target, _ = lines[0].split(" ", 2)
            path, _, query = target.partition("?")
            self.handle(method, unquote(path), dict(parse_qsl(query, keep_blank_values=True)),
                        headers, body, self.reply)

    def reply(self, status, body, kind="application/json"):
        if self.transport is None:
            return
        data = body if isinstance(body, bytes) else json.dumps(body, separators=(",", ":")).encode()
        head = "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (
            status, REASONS.get(status, "Other"), kind, len(data))
        self.transport.write(head.encode() + data)


class Events:
    """The file of events, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "a", buffering=1)

    def add(self, **event):
        event["t"] = round(time.time(), 3)
        self.file.write(json.dumps(event) + "\n")


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.busy_until = 0.0
        self.waiting = []


class Store:
    """The metadata store, and the machine list beside it."""

    def __init__(self, events):
        self.events = events
        self.partitions = {}
        self.machines = {}
        self.waves = {}
        self.loop = asyncio.get_event_loop()
        # Until then every call is answered with 503: nothing was done.
        self.down_until = 0.0

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def add(self, partition, records):
        first = len(partition.records)
        for record in records:
            key = record[1:1 + record[0]].decode("utf-8", "replace")
            value = record[1 + record[0]:]
            if value:
                partition.newest[key] = (len(partition.records), value)
            else:
                partition.newest.pop(key, None)
            partition.records.append(record)
        waiting, partition.waiting = partition.waiting, []
        for answer in waiting:
            answer()
        return first

    def put(self, topic, key, value):
        name = key.encode()
        self.add(self.partition(topic, 0), [bytes([len(name)]) + name + value])

    def handle(self, method, path, query, headers, body, reply):
        if path.startswith("/v1/") and time.monotonic() < self.down_until:
            reply(503, {})
        elif path == "/down":
            self.down_until = time.monotonic() + float(query["s"])
            reply(200, {})
        elif path == "/v1/log-append":
            self.append(query, body, reply)
        elif path == "/v1/log-read":
            self.read(query, reply)
        elif path == "/v1/log-newest":
            self.read_newest(query, reply)
        elif path == "/operator":
            entry = json.loads(body)
            self.put("keyed.op", entry["key"], json.dumps(entry["value"]).encode())
            if entry["key"].startswith("wave/"):
                self.waves[entry["value"]["wave"]] = entry["value"]
            reply(200, {})
        elif path == "/register":
            entry = json.loads(body)
            self.put("keyed.servers", entry["id"],
                     json.dumps(entry["entry"]).encode() if entry["entry"] else b"")
            reply(200, {})
        elif path == "/machine":
            entry = json.loads(body)
            self.machines[entry["machine"]] = entry
            reply(200, {})
        elif path == "/newest":
            found = self.partition(query["topic"], 0).newest.get(query["key"])
            reply(200 if found else 404, found[1] if found else {})
        else:
            reply(404, {"error": "no such call"})

    def append(self, query, body, reply):
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            reply(403, {"error": "not for the system"})
            return
        partition = self.partition(topic, int(query.get("part", "0")))
        records = []
        at = 0
        while at < len(body):
            size = int.from_bytes(body[at:at + 4], "big")
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        largest = max([len(record) for record in records], default=0)
        if largest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.events.add(event="append rejected, a record is too long", bytes=largest,
                            topic=topic, producer=query.get("producer"), epoch=query.get("epoch"))
            reply(400, {"error": "record_bytes"})
            return
        now = time.monotonic()
        partition.busy_until = max(partition.busy_until, now) + APPEND_S
        self.loop.call_at(self.loop.time() + partition.busy_until - now, self.finish_append,
                          partition, query, records, reply)

    def finish_append(self, partition, query, records, reply):
        name = query.get("producer")
        if name is not None:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            last = partition.producers.get(name)
            if last and epoch < last["epoch"]:
                reply(409, {"reason": "fenced"})
                return
            if last and epoch == last["epoch"] and sequence != last["sequence"] + 1:
                for known, answer in last["answers"]:
                    if known == sequence:
                        reply(200, answer)
                        return
                reply(409, {"reason": "seq", "sequence": last["sequence"] + 1})
                return
        if "at" in query and int(query["at"]) != len(partition.records):
            reply(412, {"end": len(partition.records)})
            return
        first = self.add(partition, records)
        answer = {"offset": first, "end": len(partition.records)}
        if name is not None:
            answers = last["answers"] if last and last["epoch"] == epoch else []
            partition.producers[name] = {"epoch": epoch, "sequence": sequence,
                                         "answers": (answers + [(sequence, answer)])[-5:]}
        reply(200, answer)

    def read(self, query, reply):
        partition = self.partition(query["topic"], int(query.get("part", "0")))
        start = int(query["from"])
        limit = int(query.get("max_kb", "1024")) * 1024
        state = {"done": False}

        def answer():
            if state["done"]:
                return
            state["done"] = True
            out = [len(partition.records).to_bytes(8, "big"), (0).to_bytes(8, "big")]
            size = 0
            for record in partition.records[start:]:
                size += 4 + len(record)
                if size > limit and len(out) > 2:
                    break
                out.append(len(record).to_bytes(4, "big"))
                out.append(record)
            reply(200, b"".join(out), "application/octet-stream")

        if start < len(partition.records) or int(query.get("wait_ms", "0")) == 0:
            answer()
            return
        partition.waiting.append(answer)
        self.loop.call_later(int(query["wait_ms"]) / 1000, answer)

    def read_newest(self, query, reply):
        partition = self.partition(query["topic"], int(query.get("part", "0")))
        after = query.get("depends_on")
        items = []
        size = 0
        more = False
        for key in sorted(partition.newest):
            if after is not None and key <= after:
                continue
            offset, value = partition.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1000000):
                more = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        reply(200, {"items": items, "has_more": more, "end": len(partition.records)})

    def handle_machines(self, method, path, query, headers, body, reply):
        if path == "/v1/machines":
            rows = [{name: row[name] for name in
                     ("machine", "pool", "state", "zone", "labels", "capacity", "id")}
                    for row in self.machines.values()]
            reply(200, {"machines": rows, "next_token": None})
            return
        order = json.loads(body)
        row = self.machines.get(order["machine"])
        self.events.add(event=path, **order)
        if row is None:
            reply(400, {})
        else:
            reply(409, {"reason": "busy"})


class Worker:
    """One worker: it runs tasks under leases and fences."""

    def __init__(self, events, about):
        self.events = events
        self.about = about
        self.loop = asyncio.get_event_loop()
        self.born = time.monotonic() - 100.0
        self.entry = dict(about["entry"], born=int(time.time() * 1000))
        self.sequence = 0
        self.fence = 0
        self.until = 0
        self.running = {}
        self.highest = {}
        self.finished = []
        self.number = 0
        self.acked = 0
        # Number of the last end that a response to a hold has listed.
        self.listed = 0
        self.lapses = 0
        self.used = [0, 0]
        self.ends = []
        self.waiting = []
        # A faulty machine: it goes down this long after it has begun a task, and is back DOWN_S
        # later, as another life under the same id.
        self.faulty_s = about.get("faulty_s")
        self.down = False
        self.connections = set()
        # Every second start gets no answer and is carried out this much later; 0 for none.
        self.late_s = 0.0
        self.starts = 0
        # Cut off until then: no call arrives or is answered, and the worker runs on.
        self.cut_until = 0.0

    def crash(self):
        if self.down:
            return
        self.down = True
        self.events.add(event="crash", running=sorted(self.running))
        self.running, self.highest, self.finished, self.ends, self.waiting = {}, {}, [], [], []
        self.number = self.acked = self.listed = self.fence = self.until = self.sequence = 0
        self.used = [0, 0]
        for connection in list(self.connections):
            connection.transport.abort()
        self.loop.create_task(self.tell("/machine", dict(self.about["machine"], state="down")))
        self.loop.call_later(DOWN_S, self.come_back)

    def come_back(self):
        self.down = False
        self.born = time.monotonic()
        self.entry["born"] = int(time.time() * 1000)
        self.events.add(event="back")
        self.loop.create_task(self.tell("/machine", self.about["machine"]))
        self.loop.create_task(self.tell_entry())

    def clock(self):
        return int((time.monotonic() - self.born) * 1000)

    def progress(self, run):
        worked = max(0, self.clock() - run["start"] - run["restore"]) + run["from"]
        return min(worked, run["work"])

    def saved(self, task, run):
        done = self.progress(run) // SAVE_MS * SAVE_MS
        return "%08x%s" % (done, task[8:16]) if done > 0 else run["checkpoint"]

    def is_quiet(self, task):
        """Whether no events of a task's single runs are written: its job is a wide one."""
        return bool(self.about["quiet"]) and task.startswith(self.about["quiet"])

    def end(self, task, how, checkpoint):
        run = self.running.pop(task)
        self.used[0] -= run["cpu"]
        self.used[1] -= run["mem"]
        self.number += 1
        self.lapses += how == "lapsed"
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.finished.append([self.number, task, run["attempt"], how, checkpoint])
        if not self.is_quiet(task):
            self.events.add(event="end", task=task, attempt=run["attempt"], how=how,
                            number=self.number)
        self.answer_holds()

    def tick(self):
        if self.running and self.clock() > self.until:
            for task in list(self.running):
                self.end(task, "lapsed", self.saved(task, self.running[task]))
        while self.ends and self.ends[0][0] <= self.clock():
            _, task, attempt, how = heapq.heappop(self.ends)
            run = self.running.get(task)
            if run and run["attempt"] == attempt:
                self.end(task, how, self.saved(task, run) if how == "stopped" else "")
        for item in list(self.waiting):
            if self.clock() >= item[0]:
                self.waiting.remove(item)
                item[1](200, self.report())
        self.loop.call_later(0.02, self.tick)

    def summary(self):
        self.events.add(event="worker", running=len(self.running), ends=self.number,
                        listed=self.listed, acked=self.acked, cpu=self.used[0],
                        lapsed=self.lapses)
        self.loop.call_later(1.0, self.summary)

    def report(self):
        running = [[task, run["attempt"], self.saved(task, run),
                    self.progress(run) * 100 // run["work"], run["cpu"]]
                   for task, run in self.running.items()]
        finished = self.finished[:ENDS_LISTED]
        self.listed = max([self.listed] + [row[0] for row in finished[-1:]])
        return {"clock_ms": self.clock(), "born": self.entry["born"], "running": running,
                "finished": finished}

    def answer_holds(self):
        waiting, self.waiting = self.waiting, []
        for _, reply in waiting:
            reply(200, self.report())

    def conflict(self, reply, reason):
        reply(409, {"clock_ms": self.clock(), "reason": reason})

    def handle(self, method, path, query, headers, body, reply):
        if path == "/late":
            self.late_s = float(query["s"])
            reply(200, {})
            return
        if path == "/crash":
            reply(200, {})
            self.loop.call_soon(self.crash)
            return
        if path == "/cut":
            self.cut_until = time.monotonic() + float(query["s"])
            self.waiting = []
            reply(200, {})
            return
        if time.monotonic() < self.cut_until:
            return
        if path == "/healthz":
            reply(200, {})
            return
        if headers.get("x-expect-instance", self.about["id"]) != self.about["id"]:
            reply(421, {})
            return
        self.starts += path == "/v1/run-start"
        if path == "/v1/run-start" and self.late_s > 0 and self.starts % 2 == 1:
            self.events.add(event="start held back", task=json.loads(body)["task"],
                            attempt=json.loads(body)["attempt"], fence=json.loads(body)["fence"])
            self.loop.call_later(self.late_s, self.carry_out, path, body, lambda *answer: None)
            return
        self.carry_out(path, body, reply)

    def carry_out(self, path, body, reply):
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            self.conflict(reply, "fence")
            return
        self.fence = order.get("fence", 0)
        if path == "/v1/run-start":
            self.start(order, reply)
        elif path == "/v1/run-stop":
            run = self.running.get(order["task"])
            self.highest[order["task"]] = max(self.highest.get(order["task"], 0), order["attempt"])
            if run and run["attempt"] == order["attempt"]:
                heapq.heappush(self.ends, (self.clock() + int(STOP_S * 1000), order["task"],
                                           order["attempt"], "stopped"))
            reply(200, {"clock_ms": self.clock()})
        elif path == "/v1/hold":
            self.hold(order, reply)
        elif path == "/v1/pace":
            reply(200, {"clock_ms": self.clock()})
        else:
            reply(404, {})

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    def start(self, order, reply):
        task, attempt = order["task"], order["attempt"]
        run = self.running.get(task)
        if run and run["attempt"] == attempt:
            reply(200, {"clock_ms": self.clock()})
            return
        if order["until_ms"] <= self.clock():
            self.conflict(reply, "late")
            return
        self.extend(order["until_ms"])
        if run or attempt <= self.highest.get(task, 0):
            self.conflict(reply, "old")
            return
        work, cpu, mem, spread = json.loads(order["spec"])[int(task.split(".")[2])]
        work = int(work * (1 + spread * (zlib.crc32(task.encode()) % 2001 - 1000) / 1000))
        if self.used[0] + cpu > self.about["entry"]["capacity"]["cpu"] or \
                self.used[1] + mem > self.about["entry"]["capacity"]["mem_mb"]:
            self.conflict(reply, "room")
            return
        checkpoint = order.get("checkpoint", "")
        run = {"attempt": attempt, "start": self.clock(), "work": work, "cpu": cpu, "mem": mem,
               "checkpoint": checkpoint, "from": int(checkpoint[:8], 16) if checkpoint else 0,
               "restore": RESTORE_MS if checkpoint else 0}
        self.running[task] = run
        self.used[0] += cpu
        self.used[1] += mem
        heapq.heappush(self.ends, (self.clock() + run["restore"] + work - run["from"], task,
                                   attempt, "done"))
        if not self.is_quiet(task):
            self.events.add(event="start", task=task, attempt=attempt, fence=order["fence"])
        if self.faulty_s is not None:
            self.loop.call_later(self.faulty_s, self.crash)
        reply(200, {"clock_ms": self.clock()})

    def hold(self, order, reply):
        if "until_ms" in order:
            self.extend(order["until_ms"])
        self.acked = max(self.acked, order.get("ack_cursor", 0))
        while self.finished and self.finished[0][0] <= self.acked:
            self.finished.pop(0)
        if self.finished or not order.get("wait_ms"):
            reply(200, self.report())
        else:
            self.waiting.append((self.clock() + order["wait_ms"], reply))

    async def tell(self, path, about):
        body = json.dumps(about).encode()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.about["store"])
            writer.write(b"POST %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (
                path.encode(), len(body)))
            writer.write(body)
            await reader.readline()
            writer.close()
        except OSError:
            pass

    async def tell_entry(self):
        self.sequence += 1
        await self.tell("/register", {"id": self.about["id"], "entry": dict(
            self.entry, sequence=self.sequence, clock_ms=self.clock())})

    async def register(self):
        while True:
            await asyncio.sleep(max(0.0, self.cut_until - time.monotonic()))
            if not self.down:
                await self.tell_entry()
            await asyncio.sleep(1.5)


async def serve(role, port, path):
    loop = asyncio.get_event_loop()
    events = Events(path + ".events")
    if role == "store":
        store = Store(events)
        await loop.create_server(lambda: Connection(store.handle_machines, store), "127.0.0.1", port + 1)
        server = await loop.create_server(lambda: Connection(store.handle, store), "127.0.0.1", port)
    else:
        with open(path) as file:
            worker = Worker(events, json.load(file))
        server = await loop.create_server(lambda: Connection(worker.handle, worker), "127.0.0.1", port)
        worker.tick()
        worker.summary()
        loop.create_task(worker.register())
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
