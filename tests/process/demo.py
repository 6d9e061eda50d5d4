"""Shows the whole path: jobs, a resubmission, a killed entry, a planned stop.

Exits 0 only if no task started twice and every job had one answer.
"""

import sys
import threading

from cluster import Cluster


def submit_jobs(cluster, count, tasks):
    """Submits jobs at all entries at once; returns the answers by key."""
    entries = cluster.entries()
    answers = {}

    def submit(number):
        vm = entries[number % len(entries)]
        key = "demo-job-%d" % number
        payloads = ["parcel %d.%d" % (number, task) for task in range(tasks)]
        answers[key] = (payloads, cluster.job(vm, key, payloads))

    threads = [threading.Thread(target=submit, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def resubmit(cluster, answers):
    """Submits every job again at another entry; returns the keys that differ."""
    entries = cluster.entries()
    wrong = []
    for number, (key, (payloads, first)) in enumerate(sorted(answers.items())):
        vm = entries[(number + 3) % len(entries)]
        again = cluster.job(vm, key, payloads)
        if (again.status, again.text) != (first.status, first.text):
            wrong.append("%s: %s, then %s" % (key, first.text, again.text))
    return wrong


def kill_entry_with_job(cluster):
    """Kills an entry while it runs a job and submits the job elsewhere."""
    victim, other = cluster.entries()[0], cluster.entries()[-1]
    key, payloads = "demo-job-of-a-killed-entry", ["run_ms=1500;a", "run_ms=1500;b"]
    job = threading.Thread(target=cluster.job, args=(victim, key, payloads))
    job.start()
    job.join(0.7)
    cluster.kill(victim)
    job.join()
    return cluster.job(other, key, payloads, deadline_ms=30000)


def run(cluster):
    print("starting %d processes and %d workers" % (len(cluster.settings), len(cluster.workers)))
    cluster.start_all("--mean_run_ms", "100")
    answers = submit_jobs(cluster, count=14, tasks=5)
    for key, (_, answer) in sorted(answers.items()):
        print("%s: status %d %s" % (key, answer.status, answer.text.strip()))
    failed = [key for key, (_, answer) in answers.items() if answer.status != 200]
    differing = resubmit(cluster, answers)
    print("resubmitted at other entries: %d of %d gave the same answer"
          % (len(answers) - len(differing), len(answers)))
    lost = kill_entry_with_job(cluster)
    print("job of a killed entry, submitted again: status %d %s" % (lost.status, lost.text.strip()))
    starts = cluster.starts()
    twice = {task: count for task, count in starts.items() if count > 1}
    print("tasks started: %d, started more than once: %d" % (len(starts), len(twice)))
    # Upstreams first: they say farewell to entries that still run.
    names = list(cluster.workers) + list(cluster.settings)
    codes = {n: cluster.stop(n) for n in names if n in cluster.processes}
    unclean = {name: code for name, code in codes.items() if code != 0}
    print("stopped %d processes gracefully, exit codes other than 0: %s" % (len(codes), unclean or "none"))
    for line in differing:
        print("DIFFERS " + line)
    return not (failed or differing or twice or unclean or lost.status not in (200, 502))


def main():
    cluster = Cluster()
    passed = False
    try:
        passed = run(cluster)
    finally:
        cluster.close(keep_files=not passed)
    print("demo: " + ("passed" if passed else "FAILED, logs in " + cluster.folder))
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
