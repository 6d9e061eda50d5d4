"""A stored job is shown as failed after its task's workers were cut off three
times, though no run of it has failed and no worker has crashed."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common"))

import cluster as stand  # noqa: E402

JOB = "00000000000000aa"
WORKERS = 6
CUTS = 3
# `node_cut` with how = "servers": a sixth of the workers, for so long.
CUT_S = 3.0
BETWEEN_S = 1.5
TASK_MS = 9000


def host_of_task(fleet):
    for _ in range(200):
        for worker in fleet.workers:
            if worker.running:
                return worker
        time.sleep(0.05)
    raise stand.CannotRun("no task runs")


def state(fleet):
    for _ in range(50):
        status, body = fleet.client("GET", JOB)
        if status == 200:
            return body["state"]
        time.sleep(0.2)
    return None


def case(record, trouble):
    fleet = stand.Cluster(record, entries=3, workers=WORKERS)
    try:
        fleet.begin()
        if fleet.submit(JOB, stand.job_body(1, TASK_MS)) != 200:
            raise stand.CannotRun("the job was not accepted")
        for _ in range(CUTS if trouble else 0):
            worker = host_of_task(fleet)
            time.sleep(2.0)
            record("cut", worker=worker.name, seconds=CUT_S)
            worker.cut_until = time.monotonic() + CUT_S
            time.sleep(CUT_S + BETWEEN_S)
        time.sleep(TASK_MS / 1000 + 5)
        ends = [run.how for runs in fleet.runs.values() for run in runs]
        shown = state(fleet)
        record("shown", state=shown, ends=ends)
        if shown == "failed" and "failed" not in ends:
            return [f"LOST: the job is shown as failed; its runs ended {ends}"]
        if shown != "completed":
            return [f"LOST: the job is shown as {shown}"]
        return []
    finally:
        fleet.close(os.environ.get("KEEP_LOGS"))


if __name__ == "__main__":
    sys.exit(stand.run_case(FOLDER, case))
