"""One of many jobs can never be done: it asks for more tasks than any system could run."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))

from platform_standin import Machine, Worker, now_ms, wall_ms  # noqa: E402
from system import job_id, lives, play  # noqa: E402

WORKERS = 3
JOBS = 60
POISONED_JOB = 30
TASK_MS = 500
RESTART_S = 0.5
FINISH_S = 14
IDLE_MS = 3000
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


def check_lost(rows, end, state_of):
    """Rule LOST at finish_s: a job gets no answer, or has had nothing running for 3 s while a task's
    turn has come, there is capacity for it twice over and under half of the capacity is in use."""
    runs = lives(rows)
    window = end - IDLE_MS
    running = [r for r in runs if r["start"] < end and (r["end"] is None or r["end"] > window)]
    idle = len(running) * STEP["cpu"] < WORKERS * CAPACITY["cpu"] / 2 and any(
        2 * STEP["cpu"] + sum(STEP["cpu"] for r in running if r["worker"] == "w-%d" % n)
        <= CAPACITY["cpu"]
        for n in range(WORKERS)
    )
    broken = []
    for ident, states in state_of.items():
        done = {r["task"] for r in runs if r["task"].startswith(ident) and r["how"] == "done"}
        works = any(r["task"].startswith(ident) for r in running)
        if not any(states):
            broken.append("LOST: job %s was accepted and gets no answer from any host" % ident)
        elif idle and not works and len(done) < STEP["count"]:
            broken.append(
                "LOST: job %s has had nothing running for 3 s and %d of %d tasks done; the hosts say %s"
                % (ident, len(done), STEP["count"], states)
            )
    return broken


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
        ident = job_id(n)
        host = system.hosts[n % 3]
        if trouble and n == POISONED_JOB:
            await system.submit_body(host, "proofs", ident, poisoned_job())
        elif await system.submit(host, "proofs", ident, "proof", [STEP]) == 200:
            accepted.append(ident)
        await asyncio.sleep(0.05)
    await asyncio.sleep(FINISH_S)
    end = now_ms() - system.record.begun
    state_of = {
        ident: [await system.state(host, "proofs", ident) for host in system.hosts]
        for ident in accepted
    }
    restarts.cancel()
    system.record.note("ended-by-itself", **ends)
    return check_lost(system.record.rows, end, state_of)


if __name__ == "__main__":
    play(case, HERE)
