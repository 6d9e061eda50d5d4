"""A control machine that has lost its disk cannot take the snapshot of a large
store, so that the next lost disk takes all accepted jobs with it."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "common"))

import cluster as stand  # noqa: E402

# Stored jobs, handed in at about the rate of the small sites' traffic (140 a
# second).
JOBS = 4600
JOBS_PER_S = 150
CLIENTS = 24
# The longest spec that the pages allow has 4,000 bytes.
PAD = 3900
# Between the return of the first machine and the loss of the second: three
# times `catch_up_s`, the time after which a machine no longer counts as lost.
BETWEEN_S = 3 * stand.BOUNDS["catch_up_s"]


def submit_all(fleet, accepted):
    """Hands in JOBS stored jobs; most wait, as each task takes long."""
    lock = threading.Lock()
    numbers = iter(range(JOBS))
    began = time.monotonic()

    def work():
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            time.sleep(max(0, began + number / JOBS_PER_S - time.monotonic()))
            job = f"{number:016x}"
            body = stand.job_body(1, 10000, cpu=1000, pad=PAD)
            status = fleet.submit(job, body, wait_s=5)
            if status is not None and 200 <= status < 300:
                accepted.append(job)

    threads = [threading.Thread(target=work, daemon=True)
               for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def lose_disk(fleet, machine):
    """The machine dies and comes back at its address with an empty disk."""
    fleet.record("lost disk", machine=machine.name)
    machine.kill()
    machine.wipe()
    time.sleep(1.0)
    machine.start()


def unanswered(fleet, jobs, seconds):
    """Asks for jobs until each has had an answer, for so long at most.
    Returns those that got none, and those that are not known any more."""
    left, gone = list(jobs), []
    end = time.monotonic() + seconds
    while left and time.monotonic() < end:
        job = left.pop(0)
        status, _ = fleet.client("GET", job, wait_s=2.0)
        if status == 410:
            gone.append(job)
        elif status != 200:
            left.append(job)
            time.sleep(0.2)
    return left, gone


def case(record, trouble):
    fleet = stand.Cluster(record, entries=3, workers=8)
    try:
        fleet.begin()
        accepted = []
        began = time.monotonic()
        submit_all(fleet, accepted)
        record("submitted", accepted=len(accepted),
               seconds=round(time.monotonic() - began, 1))
        if len(accepted) < JOBS // 2:
            raise stand.CannotRun("too few jobs were accepted")
        time.sleep(1.0)
        leader = fleet.leader()
        first, second = [each for each in fleet.core if each is not leader]
        if trouble:
            lose_disk(fleet, first)
        time.sleep(BETWEEN_S)
        if trouble:
            lose_disk(fleet, second)
        time.sleep(stand.BOUNDS["catch_up_s"] + stand.BOUNDS["recovery_s"])
        asked = accepted[:: max(1, len(accepted) // 40)]
        left, gone = unanswered(fleet, asked, stand.BOUNDS["finish_s"])
        record("asked", jobs=len(asked), unanswered=left, gone=gone)
        broken = []
        if left:
            broken.append(f"LOST: {len(left)} of {len(asked)} accepted jobs "
                          "get no answer")
        if gone:
            broken.append(f"LOST: {len(gone)} of {len(asked)} accepted jobs "
                          "are not known")
        return broken
    finally:
        fleet.close(os.environ.get("KEEP_LOGS"))


if __name__ == "__main__":
    sys.exit(stand.run_case(FOLDER, case))
