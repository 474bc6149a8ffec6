"""Starts the platform's stand-ins and sesamepick-jobd, plays clients, and checks rules."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback

from platform_standin import MachineList, Store, now_ms, pack

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "jobd", "sesamepick-jobd")

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110

# Settings of a process as on the site balapan-signup; the addresses are filled in for each process.
SETTINGS = {
    "bounds": {
        "stop_ms": 400,
        "far_factor": 1.5,
        "config_ms": 2000,
        "max_skew_ms": 5000,
        "fencing": True,
    },
    "limits": {"cpu_share": 0.25},
}


def look_up(settings, path):
    """Returns a value of the settings by its path, or None."""
    for name in path.split("."):
        if isinstance(settings, list):
            settings = settings[int(name)]
        elif isinstance(settings, dict):
            settings = settings.get(name)
        else:
            return None
    return settings


def fill_in(text, settings):
    """Fills in the placeholders and the sections of the deploy file's run command."""

    def section(match):
        present = bool(look_up(settings, match.group(2)))
        return match.group(3) if present == (match.group(1) == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(settings, m.group(1))), text)


def command(settings):
    """Returns the words of the command of the deploy file's role."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return fill_in(tomllib.load(file)["roles"]["edge"]["run"], settings).split()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def job_id(number):
    """Returns an id that ends with a letter, so that the name of a task, ID.K.STEP.INDEX, doesn't
    look like an address in the record."""
    return "77ae%011xa" % number


class Record:
    """What was sent, answered and run, in order; written to record.txt at the end."""

    def __init__(self):
        self.begun = now_ms()
        self.rows = []

    def note(self, what, **facts):
        self.rows.append((now_ms() - self.begun, what, facts))

    def write(self, folder, verdict):
        with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
            for at, what, facts in self.rows:
                text = " ".join("%s=%s" % (k, json.dumps(v)) for k, v in facts.items())
                file.write("%10.1f ms  %-12s %s\n" % (at, what, text))
            file.write("\n" + "\n".join(verdict) + "\n")


class Jobd:
    """One entry host's process, started with the command of deploy/system.toml."""

    def __init__(self, system, number):
        self.system = system
        self.ip = "127.31.0.%d" % (number + 1)
        self.name = "edge-%d" % (number + 1)
        self.frontend = "%s:%d" % (self.ip, free_port(self.ip))
        self.readiness = "%s:%d" % (self.ip, free_port(self.ip))
        self.relay_port = free_port(self.ip)
        self.process = None
        self.log = open(os.path.join(system.folder, self.name + ".log"), "ab")

    def start(self):
        system = self.system
        settings = dict(
            SETTINGS,
            node_name=self.name,
            ip=self.ip,
            port_range=[self.relay_port, self.relay_port],
            listen={"frontend": self.frontend, "readiness": self.readiness},
            platform={"address": system.store.http.address},
            cloud={"address": system.machines.http.address},
        )
        self.process = subprocess.Popen(
            command(settings),
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", "")},
        )
        system.record.note("jobd-start", name=self.name)

    def send(self, number):
        self.process.send_signal(number)
        self.system.record.note("signal", name=self.name, signal=signal.Signals(number).name)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.system.record.note("jobd-killed", name=self.name)


async def call(address, method, path, body=None, timeout_s=3.0, host="jobs.example"):
    """A client's request on a connection of its own. Returns (status, body), (0, b"") if there was
    no response."""
    ip, port = address.split(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), timeout_s)
        data = pack(body) if body is not None else b""
        writer.write(
            (
                "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                "X-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
                % (method, path, host, int(timeout_s * 1000), len(data))
            ).encode()
            + data
        )
        raw = await asyncio.wait_for(reader.read(), timeout_s)
        head, _, payload = raw.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), payload
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer:
            writer.close()


class System:
    def __init__(self, n_hosts):
        self.folder = tempfile.mkdtemp(prefix="sesamepick-review-")
        self.record = Record()
        self.store = Store(self.record.note)
        self.machines = MachineList(self.record.note)
        self.n_hosts = n_hosts
        self.hosts = []
        self.version = 0
        self.routes = []
        self.services = []

    async def start_platform(self):
        await self.store.http.start("127.32.0.1")
        await self.machines.http.start("127.32.0.2")

    def configure(self, routes, services):
        self.version += 7
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self.version,
                "routes": [
                    {
                        "name": name,
                        "host": "jobs.example",
                        "path_prefix": "/%s/" % name,
                        "service": service,
                        "priority": 0,
                        "max_attempts": 4,
                        "slack_factor": 2.0,
                        "target_latency_ms": 600,
                        "timeout_ms": 10000,
                    }
                    for name, service in routes
                ],
                "services": [{"name": s, "admission_check": True} for s in services],
                "limits": {},
            },
        )

    async def start_hosts(self):
        for number in range(self.n_hosts):
            host = Jobd(self, number)
            host.start()
            self.hosts.append(host)
        until = now_ms() + 15000
        for host in self.hosts:
            while (await call(host.readiness, "GET", "/v1/readyz", timeout_s=1.0))[0] != 200:
                if now_ms() > until or host.process.poll() is not None:
                    return False
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        return True

    def leader(self):
        """The host whose log says last that it leads."""
        best = None
        for host in self.hosts:
            host.log.flush()
            with open(host.log.name, encoding="utf-8", errors="replace") as file:
                for line in file:
                    if 'event="leading"' in line:
                        epoch = int(line.split("epoch=")[1].split()[0])
                        if not best or epoch > best[0]:
                            best = (epoch, host)
        return best[1] if best else None

    async def submit(self, host, queue, ident, spec, steps):
        return await self.submit_body(host, queue, ident, {"spec": spec, "steps": steps})

    async def submit_body(self, host, queue, ident, body):
        status, _ = await call(host.frontend, "POST", "/%s/%s" % (queue, ident), body)
        self.record.note("submit", host=host.name, job=ident, status=status)
        return status

    async def state(self, host, queue, ident):
        status, body = await call(host.frontend, "GET", "/%s/%s" % (queue, ident))
        state = json.loads(body).get("state") if status == 200 else None
        self.record.note("state", host=host.name, job=ident, status=status, state=state)
        return state

    async def stop(self):
        for host in self.hosts:
            host.kill()
        for machine in self.machines.machines.values():
            if machine.worker and machine.worker.alive:
                await machine.worker.kill()
        await self.store.http.stop()
        await self.machines.http.stop()


def lives(rows):
    """Returns the runs as a list of dicts: task, attempt, worker, born, start, end, how, number,
    noted (time at which ack_cursor reached the end, None if never)."""
    runs, by_key, ends = [], {}, {}
    for at, what, facts in rows:
        if what == "start":
            run = {
                "task": facts["task"],
                "attempt": facts["attempt"],
                "worker": facts["worker"],
                "born": facts["born"],
                "start": at,
                "end": None,
                "how": None,
                "number": None,
                "noted": None,
            }
            runs.append(run)
            by_key[(facts["worker"], facts["born"], facts["task"], facts["attempt"])] = run
        elif what in ("end", "lost"):
            run = by_key.get((facts["worker"], facts["born"], facts["task"], facts["attempt"]))
            if run and run["end"] is None:
                run["end"] = at
                run["how"] = facts.get("how", "lost")
                run["number"] = facts.get("number")
                ends.setdefault((run["worker"], run["born"]), []).append(run)
        elif what == "ack":
            for run in ends.get((facts["worker"], facts["born"]), []):
                if run["noted"] is None and run["number"] and run["number"] <= facts["cursor"]:
                    run["noted"] = at
    return runs


def check_twice(rows):
    """Rule TWICE, its first sentence. An end of which is taken note only after its worker's lease
    lapsed is excused."""
    lapses = [(f["worker"], f["born"], at) for at, what, f in rows if what == "lapse"]
    broken = []
    by_task = {}
    for run in lives(rows):
        by_task.setdefault(run["task"], []).append(run)
    for task, runs in by_task.items():
        for i, second in enumerate(runs):
            for first in runs[:i]:
                text = "%s: attempt %d on %s from %.0f to %s (%s, taken note of at %s); attempt %d on %s from %.0f" % (
                    task,
                    first["attempt"],
                    first["worker"],
                    first["start"],
                    "%.0f" % first["end"] if first["end"] is not None else "the end",
                    first["how"],
                    "%.0f" % first["noted"] if first["noted"] is not None else "no time",
                    second["attempt"],
                    second["worker"],
                    second["start"],
                )
                if first["end"] is None or second["start"] < first["end"]:
                    broken.append("TWICE, at the same time: " + text)
                elif first["how"] == "done" and first["noted"] is not None:
                    lapsed = any(
                        w == first["worker"] and b == first["born"] and first["end"] < t < first["noted"]
                        for w, b, t in lapses
                    )
                    if not lapsed:
                        broken.append("TWICE, after the end: " + text)
    return broken


def play(case, folder):
    """Runs case(system, trouble), a coroutine that returns a list of lines of broken rules, or None
    if it couldn't run, and exits with the result. The system has three entry hosts. KEEP_LOGS=1
    keeps the temporary folder with the processes' logs."""
    if not os.access(PROGRAM, os.X_OK):
        print("not built: " + PROGRAM)
        sys.exit(NOT_RUN)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    system = System(3)

    async def main():
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            return await asyncio.wait_for(case(system, trouble), LIMIT_S)
        except (Exception, asyncio.CancelledError):  # pylint: disable=broad-except
            traceback.print_exc()
            return None
        finally:
            await system.stop()

    result = asyncio.run(main())
    if result is None:
        verdict = ["could not run"]
    elif result:
        verdict = ["broken: %d times" % len(result)] + result[:20]
    else:
        verdict = ["held"]
    system.record.write(folder, verdict)
    if not os.environ.get("KEEP_LOGS"):
        shutil.rmtree(system.folder)
    print("\n".join(verdict[:6]))
    sys.exit(NOT_RUN if result is None else BROKEN if result else HELD)
