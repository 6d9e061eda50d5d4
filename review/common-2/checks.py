"""Checks of the rule LOST, from what clients and workers see."""

import itertools
import time

from deployment import BOUNDS, call

# LOST: "for 3 s, a job has nothing running while a task's turn has come".
IDLE_S = 3.0
# Each job is asked for until this time is over. The page says "in time"; this
# is several times what a client waits for one response.
ASK_S = 10.0


def finish_time(traffic_ended, back=None):
    """When jobs are asked for: `finish_s` after the end of the traffic, and
    not before `recovery_s` after the last machine is back."""
    due = traffic_ended + BOUNDS["finish_s"]
    if back is not None:
        due = max(due, back + BOUNDS["recovery_s"])
    return due


def wait_till(record, moment):
    time.sleep(max(0.0, moment - record.now()))


def ask_all(deployment, jobs):
    """Asks for each job at the entries in turn until all are answered or ASK_S
    is over. Returns the states by job; None for a job without an answer."""
    states = dict.fromkeys(jobs)
    until = time.monotonic() + ASK_S
    entries = itertools.cycle(range(len(deployment.entries)))
    while time.monotonic() < until:
        open_jobs = [job for job, state in states.items() if state is None]
        if not open_jobs:
            break
        for job in open_jobs:
            if time.monotonic() >= until:
                break
            status, body = deployment.ask(next(entries), "GET", job)
            if status == 200:
                states[job] = body["state"]
            elif status == 410:
                states[job] = "gone"
    return states


def lost_answers(states):
    """Breaches by jobs that aren't known or gave no answer in time."""
    breaches = []
    silent = [job for job, state in states.items() if state is None]
    gone = [job for job, state in states.items() if state == "gone"]
    if silent:
        breaches.append(f"LOST: {len(silent)} of {len(states)} accepted jobs "
                        f"gave no answer for {ASK_S:g} s, such as {silent[0]}")
    if gone:
        breaches.append(f"LOST: {len(gone)} of {len(states)} accepted jobs "
                        f"aren't known, such as {gone[0]}")
    return breaches


def longest_idle(deployment, seconds):
    """Watches the workers for so long. Returns the longest span in which no
    worker ran anything, and so all capacity was free."""
    until = time.monotonic() + seconds
    began, longest = None, 0.0
    while time.monotonic() < until:
        now = time.monotonic()
        if deployment.at_work:
            began = None
        else:
            began = began or now
            longest = max(longest, now - began)
        time.sleep(0.02)
    deployment.record.line("watched", seconds=seconds,
                           longest_idle=f"{longest:.2f}")
    return longest


def read_manifest(deployment):
    """Reads the manifest back for `contact_ms`; its version or None."""
    until = time.monotonic() + BOUNDS["contact_ms"] / 1000.0
    while time.monotonic() < until:
        for node in deployment.controls():
            status, body = call(node, "GET", "/config", timeout=1)
            deployment.record.line(
                "read_manifest", node=node, status=status,
                version=(body or {}).get("version") if status == 200 else "-")
            if status == 200:
                return body["version"]
        time.sleep(0.1)
    return None


def started_again(deployment):
    """The starts of a task after a run of it had ended `done`, where that end
    was taken note of, then or later, before the worker's lease lapsed. Rows of
    task, run, worker, and the run and the worker that ended."""
    events = [(at, 1, task, number, worker)
              for at, task, number, worker in deployment.starts]
    # Of an end and a start at the same moment, the start counts first.
    events += [(at, 2, task, number, worker)
               for at, task, number, worker, how in deployment.finished
               if how == "done"]
    done, again = {}, []
    for _, kind, task, number, worker in sorted(events):
        if kind == 2:
            if (number, worker) in deployment.seen_done.get(task, ()):
                done.setdefault(task, (number, worker))
        elif task in done:
            again.append((task, number, worker, done[task]))
    return again


def runs_at_once(deployment):
    """The starts of a task that ran on another worker at that moment; rows of
    task, run, worker and the other runs by worker. A run that is lost with its
    worker ends with it."""
    events = [(at, 1, task, number, worker)
              for at, task, number, worker in deployment.starts]
    # Of an end and a start at the same moment, the end counts first.
    events += [(at, 0, task, number, worker)
               for at, task, number, worker, _ in deployment.finished]
    running, doubled = {}, []
    for _, begins, task, number, worker in sorted(events):
        runs = running.setdefault(task, {})
        if not begins:
            runs.pop(worker, None)
            continue
        if runs:
            doubled.append((task, number, worker, dict(runs)))
        runs[worker] = number
    return doubled


def longest_waits(deployment, jobs, task_cpu, seconds):
    """Watches jobs of one task for so long. Returns by job the longest span in
    which it hadn't ended and had nothing running, while some worker had room
    for its task twice over and under half of all capacity was in use."""
    until = time.monotonic() + seconds
    began, longest = {}, dict.fromkeys(jobs, 0.0)
    while time.monotonic() < until:
        now = time.monotonic()
        workers = [each for each in deployment.workers if each.alive]
        used = {each.name: 0 for each in workers}
        for each in workers:
            with each.lock:
                used[each.name] = sum(r.cpu for r in each.running.values())
        room = any(each.cpu - used[each.name] >= 2 * task_cpu
                   for each in workers)
        half = sum(each.cpu for each in workers) / 2
        free = room and sum(used.values()) < half
        with deployment.lock:
            at_work = {task.split(".")[0] for task, _ in deployment.at_work}
            ended = {task.split(".")[0]
                     for _, task, _, _, how in deployment.finished
                     if how == "done"}
        for job in jobs:
            if not free or job in at_work or job in ended:
                began.pop(job, None)
                continue
            began.setdefault(job, now)
            longest[job] = max(longest[job], now - began[job])
        time.sleep(0.02)
    deployment.record.line("watched", seconds=seconds,
                           longest_wait=f"{max(longest.values()):.2f}")
    return longest
