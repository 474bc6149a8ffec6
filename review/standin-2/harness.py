"""What the review's scripts share: they start the stand-ins and the entry hosts as processes of
their own on free loopback ports, call the hosts as clients do, and end all of it."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PROGRAM = os.path.join(ROOT, "target", "jobd", "sesamepick-jobd")
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A client without a response sends again, as the protocol says.
AGAIN = (502, 504, 0)


def free_ports(count):
    """Returns the first of some consecutive free ports, below those that the system gives to
    outgoing connections."""
    for _ in range(200):
        first = random.randrange(12000, 32000 - count)
        sockets = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind(("127.0.0.1", port))
            return first
        except OSError:
            pass
        finally:
            for sock in sockets:
                sock.close()
    raise RuntimeError("no free ports")


# A script that takes longer is stopped.
TIME_S = 117


def stop(number, frame):
    sys.exit(NOT_RUN)


class Deployment:
    """A small deployment: a store, workers and entry hosts."""

    def __init__(self, folder, hosts, workers, capacity, quiet="", faulty=None):
        """workers: pool and rack of each. faulty: index of a worker whose machine is faulty, and
        after how many seconds it goes down."""
        # So that a script that is stopped ends its processes, too.
        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGALRM, stop)
        signal.alarm(TIME_S)
        self.begun = time.time()
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ports = free_ports(40 + len(workers))
        self.store = self.ports
        self.hosts = {}
        self.workers = {}
        self.processes = {}
        self.environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                            if name in os.environ}
        self.store_events = self.start_stand_in("store", "store", self.store)
        time.sleep(0.5)
        for i, (pool, rack) in enumerate(workers):
            faulty_s = faulty[1] if faulty and faulty[0] == i else None
            self.add_worker(i, pool, rack, capacity, quiet, faulty_s)
        for i in range(hosts):
            self.hosts["edge-a-%d" % (i + 1)] = self.ports + 2 + 4 * i
        for name in self.hosts:
            self.start_host(name)

    def note(self, text):
        self.record.write("%8.3f  %s\n" % (time.time() - self.begun, text))

    def start_stand_in(self, name, role, port):
        path = os.path.join(self.folder, name)
        log = open(path + ".log", "a")
        self.processes[name] = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "platform.py"), role, str(port), path],
            stdout=log, stderr=log, env=self.environment)
        return path + ".events"

    def add_worker(self, i, pool, rack, capacity, quiet, faulty_s):
        port = self.ports + 40 + i
        worker, machine = "i-%08x" % (0x7f3a9000 + i), "m-%05x" % (0x0a3f0 + i)
        entry = {"service": pool, "address": "127.0.0.1:%d" % port, "zone": "zone-a",
                 "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                 "capacity": capacity, "labels": ["a", rack]}
        about = {"machine": machine, "pool": pool, "state": "up", "zone": "zone-a",
                 "labels": ["a", rack], "capacity": capacity, "id": worker}
        with open(os.path.join(self.folder, worker), "w") as file:
            json.dump({"id": worker, "store": self.store, "quiet": quiet, "entry": entry,
                       "machine": about, "faulty_s": faulty_s}, file)
        self.workers[worker] = self.start_stand_in(worker, "worker", port)
        self.ask(self.store, "POST", "/machine", about)

    def start_host(self, name):
        port = self.hosts[name]
        log = open(os.path.join(self.folder, name + ".log"), "a")
        command = [
            PROGRAM, "--name=" + name, "--frontend=127.0.0.1:%d" % port,
            "--readiness=127.0.0.1:%d" % (port + 1), "--store=127.0.0.1:%d" % self.store,
            "--machines=127.0.0.1:%d" % (self.store + 1), "--grace-ms=6000", "--stop-ms=400",
            "--far-factor=1.5", "--relay=127.0.0.1:%d" % (port + 2), "--processor-share=0.25",
            "--config-ms=2000", "--config-skew-ms=5000", "--share-window-ms=5000",
            "--learned-durations=0", "--prospect-order=0", "--host-tokens-checked=1"]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT,
                                                env=self.environment)
        self.note("host %s started" % name)

    def kill_host(self, name):
        """SIGKILL, as when its machine loses power."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.note("host %s killed" % name)

    def ask(self, port, method, path, body=None, headers=None, timeout=3.0):
        """Sends one request. Returns the status, 0 without a response, and the body."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
        try:
            connection.request(method, path, json.dumps(body) if body is not None else None,
                               dict({"Content-Type": "application/json"}, **(headers or {})))
            response = connection.getresponse()
            data = response.read()
            return response.status, json.loads(data) if data else {}
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}
        finally:
            connection.close()

    def operator(self, key, value):
        status, _ = self.ask(self.store, "POST", "/operator", {"key": key, "value": value})
        self.note("operator writes op/%s: %d" % (key, status))

    def client(self, method, path, body=None, wait_s=15.0):
        """Calls the hosts in turn as a client does, until one answers otherwise than 502, 503, 504
        or not at all."""
        begun = time.time()
        turn = 0
        status, answer = 0, {}
        while time.time() - begun < wait_s:
            name = sorted(self.hosts)[turn % len(self.hosts)]
            turn += 1
            status, answer = self.ask(self.hosts[name], method, path, body,
                                      {"Host": "pule25.example", "X-Deadline-Ms": "3000"})
            text = json.dumps(body) if body is not None else ""
            self.note("client: %s %s at %s %s -> %d %s" % (
                method, path, name, text[:300], status, json.dumps(answer)))
            if status not in AGAIN and status != 503:
                break
            time.sleep(0.3)
        return status, answer

    def events(self, path):
        try:
            with open(path) as file:
                return [json.loads(line) for line in file if line.endswith("\n")]
        except OSError:
            return []

    def leaders(self):
        """Returns the hosts whose metrics say that they lead."""
        names = []
        for name, port in self.hosts.items():
            if name not in self.processes:
                continue
            connection = http.client.HTTPConnection("127.0.0.1", port + 1, timeout=1.0)
            try:
                connection.request("GET", "/metrics")
                text = connection.getresponse().read().decode()
                if "\nsesamepick_jobd_leading 1" in text:
                    names.append(name)
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
        return names

    def left_s(self):
        """Returns the time that is left for a wait."""
        return TIME_S - 8 - (time.time() - self.begun)

    def wait_for(self, what, condition, wait_s):
        begun = time.time()
        wait_s = min(wait_s, self.left_s())
        while time.time() - begun < wait_s:
            if condition():
                self.note("%s after %.1f s" % (what, time.time() - begun))
                return True
            time.sleep(0.2)
        self.note("not within %.0f s: %s" % (wait_s, what))
        return False

    def end(self, keep):
        signal.alarm(0)
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.record.close()
        if keep:
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
