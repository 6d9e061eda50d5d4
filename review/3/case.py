"""A leader that is cut off from the other control machines acknowledges the
end of a stored task to its worker before that end is in the log."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

import cluster as stand  # noqa: E402

CUT_S = 4.0


class Load(threading.Thread):
    """Hands in a job every now and then: some stored, some best effort."""

    def __init__(self, fleet, number, until, accepted):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.until = until
        self.accepted = accepted
        self.random = random.Random(number)

    def run(self):
        count = 0
        while time.monotonic() < self.until:
            count += 1
            job = f"{self.number:04x}{count:012x}"
            stored = self.number % 2 == 0
            body = stand.job_body(4, 200 if stored else 100, stored=stored)
            status = self.fleet.submit(job, body)
            if stored and status is not None and 200 <= status < 300:
                self.accepted.append(job)
            time.sleep(0.05 + 0.1 * self.random.random())


def twice(fleet):
    """Tasks with two runs at a time, or with a start after a run has ended
    `done` and that end is taken note of, unless the lease lapsed between."""
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
                elif (earlier.how == "done" and earlier.noted is not None
                      and not earlier.lapsed_since):
                    broken.append(
                        f"TWICE: {task}: run {run.number} at {run.worker} "
                        f"starts {run.began - earlier.ended:.2f} s after run "
                        f"{earlier.number} at {earlier.worker} ended done, "
                        f"noted after {earlier.noted - earlier.ended:.2f} s"
                    )
    return broken


def case(record, trouble):
    fleet = stand.Cluster(record, entries=3, workers=8, proxied=True)
    try:
        fleet.begin()
        accepted = []
        until = time.monotonic() + 24
        loads = [Load(fleet, number, until, accepted) for number in range(12)]
        for load in loads:
            load.start()
        time.sleep(8)
        if trouble:
            leader = fleet.leader()
            others = [each for each in fleet.core if each is not leader]
            record("cut", machine=leader.name, seconds=CUT_S)
            fleet.proxy.set_cuts([(leader.name, each.name)
                                  for each in others])
            time.sleep(CUT_S)
            fleet.proxy.set_cuts([])
            record("cut is over")
        for load in loads:
            load.join()
        if len(accepted) < 50:
            raise stand.CannotRun("too few stored jobs were accepted")
        end = time.monotonic() + stand.BOUNDS["finish_s"]
        left = set(accepted)
        while left and time.monotonic() < end:
            for job in sorted(left):
                status, body = fleet.client("GET", job)
                if status == 200 and body["state"] == "completed":
                    left.discard(job)
            time.sleep(0.2)
        record("jobs", accepted=len(accepted), not_completed=sorted(left))
        return twice(fleet)
    finally:
        fleet.close(os.environ.get("KEEP_LOGS"))


if __name__ == "__main__":
    sys.exit(stand.run_case(FOLDER, case))
