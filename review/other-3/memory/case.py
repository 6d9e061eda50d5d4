"""No case: large jobs come at once, and the platform ends each control VM for its
use of memory, again and again."""

import os
import sys
import threading
import time

sys.path.insert(
    0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../common-3")
)
import deployment as d  # noqa: E402

JOBS_PER_S = 140  # the site's whole rate
JOBS = int(os.environ.get("JOBS", "4800"))
SPEC_BYTES = 4000
TASKS = 200  # "in jobs of up to 200 tasks"
TASK_S = 20
QUEUES = 100
RESTART_DELAY_S = 0.3
WATCHED_S = 10


class Platform:
    """Ends processes that use more than `memory_mb`, and starts again those
    that have ended, as DEPLOY.md says ("Processor", "Memory", "Ends")."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.killed = {m.name: 0 for m in fleet.core + fleet.entries}
        self.highest = dict(self.killed)
        self.ends = False
        self.thread = threading.Thread(target=self._watch, daemon=True)
        self.thread.start()

    @staticmethod
    def _resident_mb(pid):
        try:
            with open(f"/proc/{pid}/statm") as file:
                pages = int(file.read().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def _watch(self):
        due = {}
        while not self.ends:
            for machine in self.fleet.core + self.fleet.entries:
                now = self.fleet.record.now()
                if machine.process.poll() is not None:
                    due.setdefault(machine.name, now + RESTART_DELAY_S)
                    if now >= due[machine.name] and not self.ends:
                        del due[machine.name]
                        machine.start()
                    continue
                used = self._resident_mb(machine.process.pid)
                self.highest[machine.name] = max(
                    self.highest[machine.name], used
                )
                limit = machine.settings()["limits"]["memory_mb"]
                if used > limit:
                    machine.kill()
                    self.killed[machine.name] += 1
                    self.fleet.record.note(
                        f"{machine.name} is ended: {used:.0f} of {limit} MB"
                    )
            time.sleep(0.01)

    def stop(self):
        self.ends = True
        self.thread.join()


class ManyQueues(d.Deployment):
    """Queues with priorities of their own, so that a new leader's time to
    queue the tasks of earlier terms (review/1) has no part in this."""

    def manifest(self, version, **changes):
        body = d.standin.Fleet.manifest(self, version, **changes)
        for number in range(QUEUES):
            body["routes"].append(
                dict(body["routes"][0], name=f"q{number}",
                     path_prefix=f"/q{number}/", priority=number)
            )
        return body


def prefix(job):
    return f"/q{int(job, 16) % QUEUES}/"


def play(record, trouble, holder):
    fleet = holder["fleet"] = ManyQueues(record, entries=3, workers=6)
    platform = Platform(fleet)
    try:
        return watch(record, trouble, fleet, platform)
    finally:
        platform.stop()


def watch(record, trouble, fleet, platform):
    fleet.begin()
    record.note("the system serves")
    step = {"cpu": 1000, "mem_mb": 64, "estimate_ms": TASK_S * 1000}
    tasks = TASKS if trouble else 4
    body = {
        "spec": str(TASK_S).ljust(SPEC_BYTES),
        "phases": [
            dict(step, count=1), dict(step, count=tasks - 1, depends_on=[0]),
        ],
    }
    ids = [f"{n:016x}" for n in range(1, JOBS + 1)]
    begin = record.now()

    def submit(numbered):
        number, job = numbered
        time.sleep(max(0, begin + number / JOBS_PER_S - record.now()))
        if record.now() > begin + JOBS / JOBS_PER_S + 1:
            return None  # the traffic has ended
        return fleet.submit_body(job, body, tries=1, prefix=prefix(job))

    statuses = d.in_threads(64, submit, enumerate(ids))
    accepted = [i for i, s in zip(ids, statuses) if s == 200]
    end_of_traffic = record.now()
    record.note(f"traffic ends: {len(accepted)} of {len(ids)} jobs of {tasks} "
                "tasks accepted")
    if len(accepted) < JOBS // 2:
        raise RuntimeError("too few jobs were accepted")
    asked = end_of_traffic + d.FINISH_S
    while record.now() < asked:
        time.sleep(0.1)
    idle = d.IdleWatch(fleet)
    sample = accepted[:: len(accepted) // 10]
    known = set()
    while record.now() < asked + WATCHED_S:
        for job in sample:
            for entry in range(3):
                if job in known or record.now() > asked + WATCHED_S:
                    break
                if fleet.state(job, entry, 1.0, prefix(job))[0] == 200:
                    known.add(job)
        time.sleep(0.05)
    idle.stop()
    longest = idle.longest(asked, record.now())
    record.note(f"most memory used, MB: "
                f"{ {n: round(v) for n, v in platform.highest.items()} }")
    record.note(f"ended for it: {platform.killed}")
    record.note(f"{len(known)} of {len(sample)} accepted jobs are known; on no "
                f"worker ran anything for {longest:.1f} s on end")
    broken = []
    often = [m.name for m in fleet.core if platform.killed[m.name] >= 3]
    if len(often) * 2 >= len(fleet.core):
        broken.append(f"Fault: processes on {len(often)} of {len(fleet.core)} "
                      "machines of the core end three times and more")
    if len(known) < len(sample):
        broken.append(f"LOST: {len(sample) - len(known)} of {len(sample)} "
                      "accepted jobs get no answer to GET at any entry")
    if longest >= 3:
        broken.append(f"LOST: for {longest:.1f} s no accepted job has anything "
                      "running, with all workers idle")
    return broken


if __name__ == "__main__":
    d.run_case(os.path.dirname(os.path.abspath(__file__)), play)
