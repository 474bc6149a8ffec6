"""TWICE: more than 500 ends wait on one worker while the platform's store is down."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import world as w  # noqa: E402

JOBS = 10
TASKS = 80
OUTAGE_S = 4.5


async def case(world, trouble):
    # One worker of the size that the sheet gives, and small tasks.
    await world.begin(3, [({"cpu": 64000, "mem_mb": 262144, "gpu": 0}, ["a", "r1-1"])])
    jobs = ["%016x" % (0x51a0000000000000 + i) for i in range(JOBS)]
    for i, job in enumerate(jobs):
        # Between 2.5 and 4.3 s of work, so that the ends are spread.
        steps = [{"count": TASKS, "cpu": 50, "mem_mb": 64, "estimate_ms": 2500 + 200 * i}]
        if (await world.submit(world.hosts[i % 3], job, steps))[0] != 200:
            return None
    if not await world.until(lambda: len(world.starts) >= JOBS * TASKS, 2.3):
        world.record.line("starts: %d" % len(world.starts))
        return None
    if trouble:
        world.record.line("the store is down for %.1f s" % OUTAGE_S)
        world.store.mute = True
        await asyncio.sleep(OUTAGE_S)
        world.store.mute = False
        world.record.line("the store is back")
    done = await world.until(lambda: len(world.noted) >= len(world.ends) >= JOBS * TASKS, 25)
    await asyncio.sleep(5)
    for job in jobs:
        await world.state(world.hosts[0], job)
    world.record.line("starts=%d ends=%d noted=%d all_noted=%d" %
                      (len(world.starts), len(world.ends), len(world.noted), done))
    broken = []
    for begun, worker, task, attempt in world.starts:
        for ended, other, name, number, how in world.ends:
            if name == task and how == "done" and ended < begun and \
                    (other, name, number, how) in world.noted:
                broken.append("TWICE: %s attempt %d starts %d ms after attempt %d has ended done, "
                              "which is taken note of" % (task, attempt, begun - ended, number))
    return broken


w.main(case)
