"""Case 6: the progress of a wide job outgrows the store's largest record."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))
import harness  # noqa: E402

WIDE = "5c0e7a21d94b36fa"
# Handed in one after the other, once the hosts are back.
SMALL = ["6d1f8b32ea5c4%02xa" % i for i in range(4)]
SMALL_EACH_S = 10.0
POOL = "huvo11a"
N_WORKERS = 9
N_TASKS = int(os.environ.get("TASKS", "18000"))
WORK_MS = int(os.environ.get("WORK_MS", "40000"))
# The site files name 9.5 s; a lease is 3.5 s.
POWER_OFF_S = 7.0
# Bounds of the rules, as in the pages' example of a small deployment.
ACK_S = 4.0
FINISH_S = 14.0


def last_rows(deployment):
    """Returns the last count of each worker, which they write each second."""
    rows = []
    for path in deployment.workers.values():
        found = [event for event in deployment.events(path) if event["event"] == "worker"]
        rows.append(found[-1] if found else {"running": 0, "ends": 0, "listed": 0, "acked": 0})
    return rows


def total(deployment, field):
    return sum(row[field] for row in last_rows(deployment))


def note_counts(deployment, what):
    deployment.note("%s: running=%d ended=%d listed=%d taken note of=%d, leaders %s" % (
        what, total(deployment, "running"), total(deployment, "ends"),
        total(deployment, "listed"), total(deployment, "acked"), deployment.leaders()))


def run(deployment, trouble):
    deployment.operator("config", {
        "version": 7, "limits": {"max_body_bytes": 262144},
        "services": [{"name": POOL, "health_path": "/healthz", "max_conns": 64,
                      "admission_check": True}],
        "routes": [{"name": "r-anu6wsj", "host": "pule25.example", "path_prefix": "/puxa400/",
                    "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
                    "priority": 0, "service": POOL, "max_attempts": 4, "slack_factor": 1.6}]})
    if not deployment.wait_for("a host leads", deployment.leaders, 15):
        return harness.NOT_RUN
    wide = {"spec": "[[%d,30,30,0]]" % WORK_MS,
            "steps": [{"count": N_TASKS, "cpu": 30, "mem_mb": 30, "estimate_ms": WORK_MS,
                       "checkpointing": True}]}
    status, _ = deployment.client("POST", "/puxa400/" + WIDE, wide)
    if status != 200:
        deployment.note("the wide job was not accepted")
        return harness.NOT_RUN
    if not deployment.wait_for("all tasks of the wide job run",
                               lambda: total(deployment, "running") == N_TASKS, 35):
        note_counts(deployment, "at the end of the wait")
        return harness.NOT_RUN
    time.sleep(2.0)
    note_counts(deployment, "before the trouble")
    if trouble:
        for name in list(deployment.hosts):
            deployment.kill_host(name)
        time.sleep(POWER_OFF_S)
        for name in deployment.hosts:
            deployment.start_host(name)
    if not deployment.wait_for("a host leads", deployment.leaders, 15):
        return harness.NOT_RUN
    time.sleep(5.0)
    note_counts(deployment, "after the trouble")
    small = {"spec": "[[800,100,100,0],[800,100,100,0]]",
             "steps": [{"count": 2, "cpu": 100, "mem_mb": 100, "estimate_ms": 800},
                       {"count": 2, "cpu": 100, "mem_mb": 100, "estimate_ms": 800,
                        "depends_on": [0]}]}
    accepted = {WIDE: time.time()}
    states = {}
    next_small = time.time()
    while time.time() - deployment.begun < 72:
        note_counts(deployment, "now")
        if time.time() >= next_small and len(accepted) <= len(SMALL):
            next_small += SMALL_EACH_S
            job = SMALL[len(accepted) - 1]
            if deployment.client("POST", "/puxa400/" + job, small)[0] == 200:
                accepted[job] = time.time()
        for job in accepted:
            if states.get(job) != "completed":
                states[job] = deployment.client("GET", "/puxa400/" + job, wait_s=4)[1].get("state")
        if len(accepted) > len(SMALL) and set(states.values()) == {"completed"}:
            break
        time.sleep(4.0)
    for job in accepted:
        deployment.note("%s: accepted %.0f s ago, %s" % (job, time.time() - accepted[job],
                                                         states.get(job)))
    return judge(deployment, states)


def judge(deployment, states):
    rejected = [event for event in deployment.events(deployment.store_events)
                if event["event"].startswith("append rejected")]
    if rejected:
        deployment.note("appends rejected because a record is too long: %d, the first %r" % (
            len(rejected), rejected[0]))
    starts = [event for path in deployment.workers.values() for event in deployment.events(path)
              if event.get("task", "")[:16] in SMALL]
    for event in sorted(starts, key=lambda event: event["t"])[:60]:
        deployment.note("small job at %.3f: %s %s run %d %s" % (
            event["t"] - deployment.begun, event["event"], event["task"], event["attempt"],
            event.get("how", "")))
    # Ends that a worker has listed for longer than ack_ms of steady state: the hosts, the links and
    # the store are calm. Ends that wait behind the 500 that a worker lists at a time don't count.
    begun = time.time() - ACK_S
    listed = acked = ended = 0
    for path in deployment.workers.values():
        rows = [event for event in deployment.events(path) if event["event"] == "worker"]
        earlier = [row for row in rows if row["t"] <= begun]
        if earlier:
            listed += earlier[-1]["listed"]
            acked += min(rows[-1]["acked"], earlier[-1]["listed"])
            ended += earlier[-1]["ends"]
    deployment.note("ends listed for over %.0f s: %d, taken note of: %d; ended: %d" % (
        ACK_S, listed, acked, ended))
    return harness.BROKEN if listed - acked > listed / 5 else harness.HELD


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(harness.PROGRAM):
        print("no program: run the build of the deploy file first")
        return harness.NOT_RUN
    capacity = {"cpu": 64000, "mem_mb": 262144, "gpu": 0}
    deployment = harness.Deployment(HERE, 3, [(POOL, "r1-%d" % (i // 4)) for i in range(N_WORKERS)],
                                    capacity, quiet=WIDE)
    result = harness.NOT_RUN
    try:
        result = run(deployment, trouble)
    finally:
        deployment.note("result %d" % result)
        deployment.end(os.environ.get("KEEP", "") == "1")
    return result


if __name__ == "__main__":
    sys.exit(main())
