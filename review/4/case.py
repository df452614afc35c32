"""Heartbeats of another writer, with a field of another type; the registrars end by themselves."""

import collections
import json
import os
import threading
import time
import traceback

from deployment import CONTROL, FRONT, Deployment
from standins import Operator, Replica, answer, call, configuration, serves

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
BEAT_S = 1.2  # `heartbeat-ms` of the page's example
SETTLE_S, WRITER_FOR_S = 4.0, 20.0
RESTART_AFTER_S = 0.5  # the platform starts a process that ended once more after a short delay
DEPTH = 100_000  # lists inside each other, where a whole number belongs; 0.2 MB
MOST_ENDS = 2  # three in the day, on half of the core, break the rule


def heartbeat_of_another_writer(sequence):
    body = json.dumps({"service": "copydesk", "address": "127.0.0.1:9", "zone": "kariakoo", "version": "v2",
                       "slots": None, "state": "ready", "sequence": sequence, "cold-remaining-ms": 0})
    return body.replace("null", "[" * DEPTH + "]" * DEPTH).encode()


def write_heartbeats(core, until, sent, lines):
    """As replicas do: to one node, and to the next one if that doesn't acknowledge it."""
    sequence = 0
    while time.monotonic() < until:
        sequence += 1
        for place in range(len(core)):
            ip = core[(sequence + place) % len(core)]
            status, _, _ = call(ip, CONTROL, "PUT", "/-/instances/i-other-writer",
                                heartbeat_of_another_writer(sequence), {"Content-Type": "application/json"},
                                limit_s=1.0)
            sent[status] += 1
            lines.append("  heartbeat %d to %s: %s\n" % (sequence, ip, status or "no answer"))
            if 200 <= status < 300:
                break
        time.sleep(BEAT_S)


def restart_ended(deployment, until, ends):
    """What the platform does: starts each process that ended once more, and counts."""
    while time.monotonic() < until:
        for machine in deployment.machines:
            if not machine.is_running():
                ends[machine.name].append(machine.child.returncode)
                time.sleep(RESTART_AFTER_S)
                machine.start(bootstrap=False)
        time.sleep(0.05)


def serve(replica, connection, request):
    time.sleep(0.01)
    connection.sendall(answer(200, request, b"done", [("Response-Stamp", "stamp-" + replica.name)]))


def main(record):
    deployment = Deployment(fronts=2)
    try:
        deployment.start()
        core = [machine.ip for machine in deployment.of("core")]
        route = {"name": "r-brief", "host": HOST, "path-prefix": "/brief/", "kind": "unsafe", "timeout-ms": 1000,
                 "target-latency-ms": 100, "priority": 1, "max-attempts": 1, "allow-anonymous": True,
                 "service": "copydesk"}
        if Operator(deployment).put(configuration(1, [route], ["copydesk"]))[0] != 200:
            return 2
        Replica("i-copydesk-1", "copydesk", "msasani", deployment.next_ip(), core, serve)
        if not serves(deployment, FRONT, HOST, "/brief/", {}):
            return 2
        time.sleep(SETTLE_S)
        sent, ends, lines = collections.Counter(), collections.defaultdict(list), []
        until = time.monotonic() + WRITER_FOR_S
        platform = threading.Thread(target=restart_ended, args=(deployment, until + 2.0, ends))
        platform.start()
        if TROUBLE:
            write_heartbeats(core, until, sent, lines)
        platform.join()
        record.write("disruption: %s\n" % ("on" if TROUBLE else "off"))
        record.write("heartbeats of the other writer, by status of the answer (0: none): %s\n" % dict(sent))
        for machine in deployment.machines:
            record.write("%s: ended by itself %d times, return codes %s\n" % (
                machine.name, len(ends[machine.name]), ends[machine.name]))
        broken = [m.name for m in deployment.of("core") if len(ends[m.name]) > MOST_ENDS]
        record.write("Fault: core machines whose process ended by itself three times or more: %d of %d\n" % (
            len(broken), len(core)))
        record.writelines(lines)
        return 1 if 2 * len(broken) >= len(core) else 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    with open("record.txt", "w") as output:
        try:
            code = main(output)
        except Exception:  # whatever it is, the case couldn't run
            traceback.print_exc(file=output)
            code = 2
        output.write("exit: %d\n" % code)
        output.flush()
    os._exit(code)
