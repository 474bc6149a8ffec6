"""Case 6: tasks that ended while the store was away are started again."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))
import harness  # noqa: E402

JOB = "5c0e7a21d94b36f8"
POOL = "huvo11a"
N_WORKERS = 3
N_TASKS = int(os.environ.get("TASKS", "10000"))
# The site files name 4.5 s for a store that is down for all.
DOWN_S = 4.5


def rows(deployment):
    """Returns the last count of each worker, which they write each second."""
    last = []
    for path in deployment.workers.values():
        found = [event for event in deployment.events(path) if event["event"] == "worker"]
        last.append(found[-1] if found else {"running": 0, "ends": 0, "acked": 0, "lapsed": 0})
    return last


def note_counts(deployment, what):
    last = rows(deployment)
    deployment.note("%s: running %s, ends listed or to be listed %s, taken note of %s" % (
        what, [row["running"] for row in last], [row["ends"] for row in last],
        [row["acked"] for row in last]))


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
    time.sleep(6.0)
    job = {"spec": "[[1000,200,200,0.5]]",
           "steps": [{"count": N_TASKS, "cpu": 200, "mem_mb": 200, "estimate_ms": 1000}]}
    status, _ = deployment.client("POST", "/puxa400/" + JOB, job)
    if status != 200:
        deployment.note("the job was not accepted")
        return harness.NOT_RUN
    time.sleep(2.5)
    note_counts(deployment, "before the trouble")
    if trouble:
        status, _ = deployment.ask(deployment.store, "POST", "/down?s=%s" % DOWN_S)
        deployment.note("the store answers 503 for %s s: %d" % (DOWN_S, status))
    for _ in range(6):
        time.sleep(1.0)
        note_counts(deployment, "now")
    state = None
    while time.time() - deployment.begun < 80 and state != "completed":
        time.sleep(1.0)
        note_counts(deployment, "now")
        state = deployment.client("GET", "/puxa400/" + JOB, wait_s=4)[1].get("state")
    time.sleep(3.0)
    return judge(deployment, state)


def judge(deployment, state):
    """TWICE: a start after a run has ended `done`, if that end is taken note of, and the worker's
    lease has not lapsed. Two runs of a task at the same time are counted apart."""
    last = rows(deployment)
    note_counts(deployment, "at the end")
    deployment.note("lapsed: %s" % [row["lapsed"] for row in last])
    events = []
    for i, path in enumerate(deployment.workers.values()):
        for event in deployment.events(path):
            if event["event"] in ("start", "end"):
                events.append(dict(event, worker=i))
    events.sort(key=lambda event: event["t"])
    done = {}
    running = {}
    after_done = together = 0
    for event in events:
        task = event["task"]
        if event["event"] == "end":
            running.setdefault(task, set()).discard((event["worker"], event["attempt"]))
            worker = last[event["worker"]]
            if event["how"] == "done" and event["number"] <= worker["acked"] and \
                    worker["lapsed"] == 0:
                done.setdefault(task, event)
            continue
        if running.setdefault(task, set()):
            together += 1
        running[task].add((event["worker"], event["attempt"]))
        if task in done:
            after_done += 1
            if after_done <= 20:
                first = done[task]
                deployment.note("%s: run %d ended done on worker %d at %.3f as number %d, "
                                "run %d was started on worker %d at %.3f" % (
                                    task, first["attempt"], first["worker"],
                                    first["t"] - deployment.begun, first["number"],
                                    event["attempt"], event["worker"],
                                    event["t"] - deployment.begun))
    deployment.note("state %s, starts %d of %d tasks, after an end `done` that is taken note of "
                    "%d, beside another run %d" % (
                        state, sum(event["event"] == "start" for event in events), N_TASKS,
                        after_done, together))
    return harness.BROKEN if after_done + together > 0 else harness.HELD


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(harness.PROGRAM):
        print("no program: run the build of the deploy file first")
        return harness.NOT_RUN
    capacity = {"cpu": 64000, "mem_mb": 262144, "gpu": 0}
    deployment = harness.Deployment(HERE, 3, [(POOL, "r1-0")] * N_WORKERS, capacity)
    result = harness.NOT_RUN
    try:
        result = run(deployment, trouble)
    finally:
        deployment.note("result %d" % result)
        deployment.end(os.environ.get("KEEP", "") == "1")
    return result


if __name__ == "__main__":
    sys.exit(main())
