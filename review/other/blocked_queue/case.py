"""Some jobs that no worker can run stop all jobs that come after them."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common"))

import cluster as stand  # noqa: E402

# The rate of the small site's kind of request that its `poison` names.
JOBS_PER_S = 34
TRAFFIC_S = 20.0
# `poison`: this share of the jobs for so long, at most.
POISON_AT_S = 8.0
POISON_S = 3.0
POISON_SHARE = 0.05
# Tasks of a job: 8 in the mean and 32 at most on the small site.
TASKS = 8
POISON_TASKS = 16
CPU = 1000
CLIENTS = 24
# What the rule asks of a job that waits.
STUCK_S = 3.0


def poison_numbers():
    """The jobs that can never be done: evenly among those of the time."""
    first = int(POISON_AT_S * JOBS_PER_S)
    count = int(POISON_S * JOBS_PER_S)
    wanted = int(count * POISON_SHARE)
    return {first + index * count // wanted for index in range(wanted)}


def submit_all(fleet, poison, accepted):
    lock = threading.Lock()
    numbers = iter(range(int(TRAFFIC_S * JOBS_PER_S)))
    began = time.monotonic()

    def work():
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            time.sleep(max(0, began + number / JOBS_PER_S - time.monotonic()))
            job = f"{number:016x}"
            bad = number in poison
            body = stand.job_body(POISON_TASKS if bad else TASKS, 60, cpu=CPU)
            if bad:
                # A label that no worker has.
                body["phases"][0]["selector"] = "z"
            status = fleet.submit(job, body)
            if not bad and status is not None and 200 <= status < 300:
                accepted.append(job)

    threads = [threading.Thread(target=work, daemon=True)
               for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def not_completed(fleet, jobs):
    left = []
    for job in jobs:
        status, body = fleet.client("GET", job)
        if status != 200 or body["state"] != "completed":
            left.append((job, status, body))
    return left


def has_run(fleet, job, since):
    with fleet.lock:
        return any(
            run.ended is None or run.ended >= since
            for task, runs in fleet.runs.items() if task.startswith(job + ".")
            for run in runs
        )


def free_cpu(fleet):
    return [stand.Worker.CPU - sum(run.cpu for run in
                                   list(worker.running.values()))
            for worker in fleet.workers]


def case(record, trouble):
    fleet = stand.Cluster(record, entries=3, workers=8)
    try:
        fleet.begin()
        accepted = []
        poison = poison_numbers() if trouble else set()
        record("poison", jobs=len(poison))
        submit_all(fleet, poison, accepted)
        record("traffic ends", accepted=len(accepted))
        if len(accepted) < 0.9 * TRAFFIC_S * JOBS_PER_S:
            raise stand.CannotRun("too few jobs were accepted")
        time.sleep(stand.BOUNDS["finish_s"])
        left = not_completed(fleet, accepted)
        # For so long: nothing of the job runs, though its turn has come, there
        # is room for it twice over and under half of the room is used.
        since = time.monotonic()
        room = True
        while time.monotonic() < since + STUCK_S:
            free = free_cpu(fleet)
            total = stand.Worker.CPU * len(free)
            fitting = sum(each // CPU for each in free)
            room = room and fitting >= 2 * TASKS and sum(free) > total / 2
            time.sleep(0.02)
        stuck = [job for job, _, _ in left if not has_run(fleet, job, since)]
        still = {job for job, _, _ in not_completed(fleet, stuck)}
        stuck = [job for job in stuck if job in still]
        record("asked", not_completed=len(left), stuck=len(stuck),
               first=left[:3], room=room)
        if stuck and room:
            return [f"LOST: {len(stuck)} of {len(accepted)} accepted jobs have "
                    f"nothing running for {STUCK_S} s beside idle workers, "
                    f"{stand.BOUNDS['finish_s']} s after the traffic"]
        return []
    finally:
        fleet.close(os.environ.get("KEEP_LOGS"))


if __name__ == "__main__":
    sys.exit(stand.run_case(FOLDER, case))
