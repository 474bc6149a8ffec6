"""Workers crash and start again under their ids as another kind, while work for their former kind
waits."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))

from platform_standin import Machine, Worker  # noqa: E402
from system import job_id, play  # noqa: E402

WORKERS = 14
TASK_MS = 900
DOWN_S = 1.5
PAUSE_S = 0.5
CRASHES = 12
AT_ONCE = 2
JOBS = 200
CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
STEP = {"count": 20, "cpu": 2000, "mem_mb": 1024, "estimate_ms": TASK_MS}


def job_of(spec):
    return {"cpu": STEP["cpu"], "mem_mb": STEP["mem_mb"], "ms": TASK_MS}


def check_route(rows):
    """Rule ROUTE: a start without the label in requires. The spec of a job names its label."""
    broken = []
    for at, what, facts in rows:
        if what == "start":
            label = facts["spec"].split()[1]
            if label not in facts["labels"]:
                broken.append(
                    "ROUTE: %s, which requires %s, started at %.0f on %s (born %d), whose labels are %s"
                    % (facts["task"], label, at, facts["worker"], facts["born"], facts["labels"])
                )
    return broken


async def case(system, trouble):
    ips = {}

    async def start_worker(machine, kind):
        number = int(machine.name[2:])
        worker = Worker(
            system.store, system.record.note, machine, "w-%d" % number, [kind, machine.rack], job_of
        )
        ip, port = ips.get(number, ("127.33.0.%d" % (number + 1), 0))
        address = await worker.start(ip, port)
        ips[number] = (ip, int(address.split(":")[1]))
        machine.state = "up"

    await system.start_platform()
    system.configure([("proofs", "print")], ["print"])
    for n in range(WORKERS):
        machine = Machine("m-%d" % n, "print", "r-%d" % (n // 4), CAPACITY)
        system.machines.add(machine)
        await start_worker(machine, "a" if n % 2 == 0 else "b")
    if not await system.start_hosts():
        return None
    for n in range(JOBS):
        label = "b" if n % 2 else "a"
        ident = job_id(n)
        status = await system.submit(
            system.hosts[n % 3], "proofs", ident, "proof %s" % label, [dict(STEP, requires=label)]
        )
        if status != 200:
            return None
    for n in range(CRASHES):
        if not trouble:
            break
        crashed = []
        for k in range(AT_ONCE):
            machine = system.machines.machines["m-%d" % ((n * AT_ONCE + k) % WORKERS)]
            machine.state = "down"
            worker, machine.worker = machine.worker, None
            crashed.append((machine, worker.labels[0]))
            await worker.kill()
        await asyncio.sleep(DOWN_S)
        for machine, kind in crashed:
            await start_worker(machine, "a" if kind == "b" else "b")
        await asyncio.sleep(PAUSE_S)
    if not trouble:
        await asyncio.sleep(CRASHES * (DOWN_S + PAUSE_S))
    return check_route(system.record.rows)


if __name__ == "__main__":
    play(case, HERE)
