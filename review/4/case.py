"""The leading control machine is stopped as planned while workers are added."""

import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../common-2"))

from checks import runs_at_once
from deployment import RESTART_DELAY_S, CannotRun, play, spec_for

WORKERS = 12
WORKER_CPU = 32000
TASK_CPU = 8000
SLOTS = WORKER_CPU // TASK_CPU
# The page's shares are 0.25 and 0.3 of the workers, over a second or more.
ADDED = 3
ADDED_OVER_S = 1.0
ROUNDS = 5
# Tasks that fill all workers, and those that wait for the added ones.
FILL_S = 2.0
WAITING_S = 3.0


def submit(deployment, count, seconds):
    job = f"{random.getrandbits(64):016x}"
    body = {
        "spec": spec_for(seconds, TASK_CPU),
        "phases": [{"count": count, "cpu": TASK_CPU, "mem_mb": 256,
                    "estimate_ms": int(seconds * 1000)}],
    }
    entry = random.randrange(len(deployment.entries))
    if deployment.ask(entry, "POST", job, body)[0] != 200:
        raise CannotRun("a job was not accepted")


def stop_leader(deployment):
    """Stops the leader as planned and starts it again."""
    leader = deployment.leader()
    if not leader:
        raise CannotRun("no leader is in the logs")
    leader.send_signal(signal.SIGTERM)
    leader.process.wait(timeout=10)
    time.sleep(RESTART_DELAY_S)
    leader.start()


def case(deployment, trouble):
    for _ in range(WORKERS):
        deployment.add_worker(cpu=WORKER_CPU)
    deployment.begin()
    time.sleep(3)
    for _ in range(ROUNDS):
        submit(deployment, SLOTS * len(deployment.workers), FILL_S)
        time.sleep(0.2)
        submit(deployment, SLOTS * ADDED, WAITING_S)
        time.sleep(0.2)
        for _ in range(ADDED):
            deployment.add_worker(cpu=WORKER_CPU)
            time.sleep(ADDED_OVER_S / ADDED)
        if trouble:
            stop_leader(deployment)
        time.sleep(7)
    doubled = runs_at_once(deployment)
    deployment.record.line("summary", starts=len(deployment.starts),
                           doubled=len(doubled))
    if not doubled:
        return []
    task, number, worker, others = doubled[0]
    return [f"TWICE: {len(doubled)} tasks of {len(deployment.starts)} were "
            f"started while they ran on another worker that is up, such as "
            f"{task}, run {number} on {worker} beside {others}"]


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
