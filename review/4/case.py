"""A worker with some hundred small tasks is cut off for half a second, in which
more than 500 of them end."""

import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../common-2"))

from checks import ask_all, lost_answers, started_again
from deployment import CannotRun, play

# One of six workers is 0.167 of them; the page's share is 0.17. Each has the
# site's 32 cores.
WORKERS = 6
WORKER_CPU = 32000
TASK_CPU = 30
# The size that the users' first letter names: "in jobs of up to 200 tasks".
TASKS = 200
JOBS = 5
# All tasks end within this span, from this time after the first job on.
END_AFTER_S = 11.0
END_SPAN_S = 0.4
CUT_S = 0.55
# The cut begins so long before the first end.
CUT_LEAD_S = 0.03
# A worker returns 500 ends at a time.
ENDS_AT_A_TIME = 500


def case(deployment, trouble):
    record = deployment.record
    for _ in range(WORKERS):
        deployment.add_worker(cpu=WORKER_CPU)
    deployment.begin()
    time.sleep(3)
    first_end = time.monotonic() + END_AFTER_S
    accepted = []
    for number in range(JOBS):
        job = f"{random.getrandbits(64):016x}"
        body = {
            "spec": json.dumps({"until": first_end, "span": END_SPAN_S,
                                "cpu": TASK_CPU}),
            "phases": [{"count": TASKS, "cpu": TASK_CPU, "mem_mb": 16,
                        "estimate_ms": int(END_AFTER_S * 1000)}],
        }
        if deployment.ask(number % 3, "POST", job, body)[0] != 200:
            raise CannotRun("a job was not accepted")
        accepted.append(job)
        time.sleep(1.2)
    time.sleep(max(0.0, first_end - CUT_LEAD_S - time.monotonic()))
    busiest = max(deployment.workers, key=lambda each: len(each.running))
    tasks = len(busiest.running)
    record.line("running", worker=busiest.name, tasks=tasks)
    if tasks <= ENDS_AT_A_TIME:
        raise CannotRun("too few tasks run on the busiest worker")
    if trouble:
        busiest.cut = True
        record.line("cut", worker=busiest.name)
        time.sleep(CUT_S)
        busiest.cut = False
        record.line("cut_ends", worker=busiest.name)
    time.sleep(8)
    states = ask_all(deployment, accepted)
    again = started_again(deployment)
    record.line("summary", starts=len(deployment.starts), again=len(again))
    breaches = lost_answers(states)
    if again:
        task, number, worker, ended = again[0]
        breaches.append(
            f"TWICE: {len(again)} tasks were started after a run had ended "
            f"`done` and its end was taken note of, such as {task}: run "
            f"{ended[0]} ended on {ended[1]}, run {number} was started on "
            f"{worker}")
    return breaches


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
