"""A leader that is killed soon after a new worker's first start: the next one
takes its list of workers as complete and starts that worker's tasks again."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common"))

import cluster as stand  # noqa: E402

ROUNDS = 4
JOBS = 150
TASK_MS = 6000
DOWN_S = 3.0


def doubled(fleet):
    """Tasks with two runs at the same time."""
    broken = []
    for task, runs in sorted(fleet.runs.items()):
        runs = sorted(runs, key=lambda run: run.began)
        for index, run in enumerate(runs):
            for earlier in runs[:index]:
                if earlier.ended is None or earlier.ended > run.began:
                    broken.append(
                        f"TWICE: {task}: run {run.number} at {run.worker} "
                        f"starts while run {earlier.number} at "
                        f"{earlier.worker} is there"
                    )
    return broken


def case(record, trouble):
    fleet = stand.Cluster(record, entries=3, workers=6)
    try:
        fleet.begin()
        for number in range(JOBS):
            fleet.submit(f"{number:016x}",
                         stand.job_body(2, TASK_MS, cpu=2000))
        time.sleep(1.0)
        for number in range(ROUNDS):
            worker = stand.Worker(fleet, f"i-new{number}",
                                  f"{fleet.net}.{150 + number}",
                                  stand.ZONES[0], "r0")
            fleet.workers.append(worker)
            record("worker is added", worker=worker.name)
            end = time.monotonic() + 8
            while not worker.running and time.monotonic() < end:
                time.sleep(0.005)
            if not worker.running:
                raise stand.CannotRun("the new worker gets no task")
            if trouble:
                leader = fleet.leader()
                leader.kill()
                time.sleep(DOWN_S)
                leader.start()
            time.sleep(4.0)
        return doubled(fleet)
    finally:
        fleet.close(os.environ.get("KEEP_LOGS"))


if __name__ == "__main__":
    sys.exit(stand.run_case(FOLDER, case))
