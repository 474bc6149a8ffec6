"""One of many jobs can never be done: it asks for more tasks than any system could run."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))

from platform_standin import Machine, Worker, wall_ms  # noqa: E402
from system import play  # noqa: E402

WORKERS = 3
JOBS = 60
POISONED_JOB = 30
TASK_MS = 500
RESTART_S = 0.5
FINISH_S = 14
CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
STEP = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": TASK_MS}


def job_of(spec):
    return {"cpu": STEP["cpu"], "mem_mb": STEP["mem_mb"], "ms": TASK_MS}


def poisoned_job():
    """2^33 tasks, 2^31 times: a number of tasks that passes 64 bits."""
    return {
        "spec": "proof",
        "repeats": 2**31,
        "first_ms": wall_ms(),
        "interval_ms": 1000,
        "steps": [dict(STEP, count=2**31)] * 4,
    }


async def restart_often(system, ends):
    """The platform starts a process that has ended again after a short delay."""
    while True:
        for host in system.hosts:
            if host.process.poll() is not None:
                ends[host.name] = ends.get(host.name, 0) + 1
                system.record.note("jobd-ended", name=host.name, status=host.process.returncode)
                await asyncio.sleep(RESTART_S)
                host.start()
        await asyncio.sleep(0.05)


async def case(system, trouble):
    ends = {}
    await system.start_platform()
    system.configure([("proofs", "print")], ["print"])
    for n in range(WORKERS):
        machine = Machine("m-%d" % n, "print", "r-%d" % n, CAPACITY)
        system.machines.add(machine)
        worker = Worker(
            system.store, system.record.note, machine, "w-%d" % n, ["a", machine.rack], job_of
        )
        await worker.start("127.33.0.%d" % (n + 1))
    if not await system.start_hosts():
        return None
    restarts = asyncio.ensure_future(restart_often(system, ends))
    accepted = []
    for n in range(JOBS):
        ident = "%016x" % (0x77AE000000000000 + n)
        host = system.hosts[n % 3]
        if trouble and n == POISONED_JOB:
            await system.submit_body(host, "proofs", ident, poisoned_job())
        elif await system.submit(host, "proofs", ident, "proof", [STEP]) == 200:
            accepted.append(ident)
        await asyncio.sleep(0.05)
    await asyncio.sleep(FINISH_S)
    broken = []
    for ident in accepted:
        states = [await system.state(host, "proofs", ident) for host in system.hosts]
        if "completed" not in states:
            broken.append("LOST: job %s was accepted; the hosts say %s" % (ident, states))
    restarts.cancel()
    for name, times in sorted(ends.items()):
        broken.append("%s ended by itself %d times" % (name, times))
    return broken


if __name__ == "__main__":
    play(case, HERE)
