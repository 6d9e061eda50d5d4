"""Case 8: a control VM that lost its disk, and large jobs that wait."""

import os
import sys
import time

sys.path.insert(
    0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common-3")
)
import deployment as d  # noqa: E402

# The traffic of the site, for 34 s; the largest `spec` that is allowed.
JOBS_PER_S = 140
JOBS = int(os.environ.get("JOBS", "4800"))
SPEC_BYTES = 4000
TASK_S = 20
DOWN_S = 9


def prefix(job):
    """The job's queue: one of six, with priorities from 0 to 5."""
    number = int(job, 16) % 6
    return f"/p{number}/" if number else "/claims/"


def play(record, trouble, holder):
    fleet = holder["fleet"] = d.Deployment(record, entries=3, workers=6)
    fleet.begin()
    record.note("the system serves")
    body = {
        "spec": str(TASK_S).ljust(SPEC_BYTES),
        "phases": [
            {"count": 1, "cpu": 1000, "mem_mb": 64,
             "estimate_ms": TASK_S * 1000}
        ],
    }
    ids = [f"{n:016x}" for n in range(1, JOBS + 1)]
    begin = record.now()

    def submit(numbered):
        number, job = numbered
        time.sleep(max(0, begin + number / JOBS_PER_S - record.now()))
        return fleet.submit_body(job, body, prefix=prefix(job))

    statuses = d.in_threads(16, submit, enumerate(ids))
    accepted = [i for i, s in zip(ids, statuses) if s == 200]
    record.note(f"traffic ends: {len(accepted)} of {len(ids)} jobs accepted, "
                f"{fleet.starts} tasks started so far")
    if len(accepted) < len(ids) * 0.9:
        raise RuntimeError("too few jobs were accepted")
    end_of_traffic = record.now()
    leader = fleet.leader()
    wiped, lost = [m for m in fleet.core if m is not leader]
    record.note(f"{leader.name} leads")
    if trouble:
        record.note(f"{wiped.name} loses its disk and starts again, empty")
        wiped.kill()
        wiped.wipe()
        wiped.start()
    back = record.now()
    # A machine counts as lost until catch_up_s after it is back.
    wait_until = max(back + d.CATCH_UP_S + d.CONTACT_S + 5,
                     end_of_traffic + d.FINISH_S)
    while record.now() < wait_until:
        time.sleep(0.1)
    for machine in fleet.core:
        sizes = {name: os.path.getsize(os.path.join(machine.disk, name))
                 for name in sorted(os.listdir(machine.disk))}
        record.note(f"disk of {machine.name}: {sizes}")
    if trouble:
        record.note(f"{lost.name} is killed and stays down for {DOWN_S} s")
        lost.kill()
    begin = record.now()
    watch = d.IdleWatch(fleet)
    sample = accepted[:: len(accepted) // 10]
    known = set()
    while record.now() < begin + DOWN_S:
        left = [job for job in sample if job not in known]
        for job in left:
            for entry in range(3):
                if begin + d.CONTACT_S < record.now() < begin + DOWN_S and (
                    fleet.state(job, entry, 1.0, prefix(job))[0] == 200
                ):
                    known.add(job)
                    break
        time.sleep(0.05)
    watch.stop()
    longest = watch.longest(begin, begin + DOWN_S)
    record.note(f"on no worker ran anything for {longest:.1f} s on end; "
                f"{len(known)} of {len(sample)} jobs are known")
    if trouble:
        lost.start()
    broken = []
    if longest >= 3:
        broken.append(
            f"LOST: for {longest:.1f} s no accepted job has anything running, "
            "though tasks' turns have come and all workers are idle"
        )
    if len(known) < len(sample):
        broken.append(
            f"LOST: {len(sample) - len(known)} of {len(sample)} accepted jobs "
            "get no answer to GET while one control VM is down"
        )
    return broken


if __name__ == "__main__":
    d.run_case(os.path.dirname(os.path.abspath(__file__)), play)
