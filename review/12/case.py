"""LOST: a task that lasts doesn't run for twelve seconds after its worker crashed."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import world as w  # noqa: E402

CRASH_S = 1.6
# From the end of the disruption: until machines are in touch again (contact_ms), 4 s of calm, and
# the 3 s in which the task doesn't run.
ALLOWED_S = 3.0 + 4.0 + 3.0


async def case(world, trouble):
    # Of nodeworks-kyu.
    world.bounds = {"stop_ms": "900", "far_factor": "3", "config_ms": "2000",
                    "max_skew_ms": "5000", "fencing": ""}
    size = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
    await world.begin(3, [(size, ["a", "r1-%d" % (1 + i // 4)]) for i in range(8)])
    crashed = []

    def on_arrival(worker):
        """The worker falls silent (srv_crash, dark) with the first start on its way to it."""
        if trouble and not crashed:
            crashed.append(worker)
            worker.dark = True
            asyncio.ensure_future(crash(world, worker))

    world.on_arrival = on_arrival
    job = "15e0000000000001"
    steps = [{"count": 1, "cpu": 2000, "mem_mb": 1024, "long_running": True}]
    if (await world.submit(world.hosts[0], job, steps))[0] != 200:
        return None
    if not trouble:
        started = await world.until(lambda: world.starts, 5)
        return [] if started else None
    if not await world.until(lambda: crashed, 5):
        return None
    end_ms = w.now_ms() + CRASH_S * 1000
    await world.until(lambda: world.starts, 30)
    running_ms = world.starts[0][0] if world.starts else w.now_ms()
    world.record.line("the task runs %.2f s after the end of the crash" %
                      ((running_ms - end_ms) / 1000))
    await world.state(world.hosts[1], job)
    if running_ms - end_ms > ALLOWED_S * 1000:
        return ["LOST: task %s.0.0.0, which is to last, hasn't run until %.2f s after its worker was "
                "back; seven workers were idle" % (job, (running_ms - end_ms) / 1000)]
    return []


async def crash(world, worker):
    machine = world.cloud.machines[worker.machine]
    world.record.line("worker %s falls silent" % worker.id)
    machine["state"] = "down"
    await worker.go_dark()
    await asyncio.sleep(CRASH_S)
    fresh = w.Worker(world, world.next_id(), worker.machine, worker.service, worker.capacity,
                     worker.labels)
    await fresh.begin()
    machine["worker"], machine["state"] = fresh, "up"
    world.record.line("machine %s is up again with worker %s" % (worker.machine, fresh.id))
    await asyncio.sleep(3.5)
    world.store.put("keyed.servers", worker.id, None)


w.main(case)
