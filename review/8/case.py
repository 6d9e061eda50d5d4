"""Case 8: an entry goes on with an older manifest, since it waits for the
document of a control VM that is frozen."""

import os
import signal
import sys
import threading
import time

sys.path.insert(
    0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common-3")
)
import deployment as d  # noqa: E402

ENTRIES = 9
ROUTES = 350  # as many as `big_config` adds in the site's entry
FREEZE_S = 4  # as in the site's `node_freeze` on the core
ROUNDS = 8


def manifest(fleet, version):
    """A manifest with many routes, one of which only this version has."""
    body = fleet.manifest(version)
    route = body["routes"][0]
    for number in range(ROUTES):
        body["routes"].append(
            dict(route, name=f"many-{number}", path_prefix=f"/many-{number}/",
                 priority=1)
        )
    body["routes"].append(
        dict(route, name=f"new-{version}", path_prefix=f"/new-{version}/",
             priority=1)
    )
    return body


def play(record, trouble, holder):
    fleet = holder["fleet"] = d.LinkedDeployment(
        record, entries=ENTRIES, workers=3
    )
    fleet.begin()
    version = 10
    if fleet.put(manifest(fleet, version)) != 200:
        raise RuntimeError("the manifest was not acknowledged")
    record.note("the system serves")
    time.sleep(4)
    leader = fleet.leader()
    control = f"{leader.ip}:{fleet.port + 2}"
    frozen = None
    for _ in range(ROUNDS):
        version += 3
        if trouble:
            frozen = fleet.links.call_at(
                leader.name, b"jobs.document",
                lambda: leader.process.send_signal(signal.SIGSTOP),
            )
        status, _ = d.standin.request(
            control, "PUT", "/config", manifest(fleet, version), timeout=2
        )
        confirmed = record.now()
        record.note(f"PUT /config version {version} -> {status}")
        if status != 200 or not trouble or frozen.wait(1.0):
            break
        time.sleep(1)
    if status != 200:
        raise RuntimeError("the manifest was not acknowledged")
    begin = record.now()
    if trouble:
        if not frozen.is_set():
            raise RuntimeError("no entry asked the leader for the document")
        record.note(f"{leader.name}, which leads, is frozen")
    # All entries are asked for the new route, as clients do.
    last_old = [None] * ENTRIES
    path = f"/new-{version}/"

    def ask(entry):
        while record.now() < begin + FREEZE_S:
            sent = record.now()
            status, _ = d.standin.request(
                fleet.front(entry), "GET", path, None,
                {"host": d.HOST, "geraniumbay-timeout-ms": "1500"}, timeout=1.5,
            )
            record.note(f"GET {path} at entry {entry}, sent at {sent:.3f} "
                        f"-> {status}", show=False)
            if status == 404:
                last_old[entry] = sent
            time.sleep(0.03)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(ENTRIES)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    if trouble:
        leader.process.send_signal(signal.SIGCONT)
    # The core is stable again contact_ms after the freeze has begun, until
    # it ends.
    in_touch = begin + (d.CONTACT_S if trouble else 0)
    bound = max(confirmed + d.BOUNDS["config_apply_ms"] / 1000, in_touch)
    for entry, sent in enumerate(last_old):
        if sent:
            record.note(f"entry {entry}: 404 for the new route last for a "
                        f"request sent {sent - confirmed:.2f} s after the "
                        f"confirmation, {sent - begin:.2f} s after the freeze")
    late = [n for n, sent in enumerate(last_old) if sent and sent > bound]
    if late:
        return [f"CONFIG: entries {late}, in touch, refuse a route with 404 "
                "that has been confirmed for more than config_apply_ms"]
    return []


if __name__ == "__main__":
    d.run_case(os.path.dirname(os.path.abspath(__file__)), play)
