"""Heartbeats of another writer, whose id can't be read as text; no gateway takes a configuration any more."""

import collections
import json
import os
import random
import socket
import threading
import time
import traceback

from deployment import BOUNDS, CONTROL, FRONT, Deployment
from standins import Operator, Replica, answer, call, configuration, serves

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
BEAT_S = 1.2  # `heartbeat-ms` of the page's example
SETTLE_S, WRITER_FOR_S = 4.0, 12.0
UNREADABLE_ID = "i-Sigur\u00f0ur".encode("latin-1")  # no UTF-8


class SoundReplica:
    def __init__(self):
        self.runs = {}  # request: when work on it began

    def handle(self, replica, connection, request):
        self.runs[request["id"]] = time.monotonic()
        time.sleep(0.01)
        connection.sendall(answer(200, request, b"done by " + replica.name.encode(),
                                  [("Response-Stamp", "stamp-" + replica.name)]))


def heartbeat_of_another_writer(ip, sequence):
    """One heartbeat; the status of its answer. Its body is sound, the id in its path is not."""
    body = json.dumps({"service": "copydesk", "address": "127.0.0.1:9", "zone": "kariakoo", "version": "v1",
                       "slots": 6, "state": "ready", "sequence": sequence, "cold-remaining-ms": 0}).encode()
    try:
        with socket.create_connection((ip, CONTROL), timeout=1.0) as connection:
            connection.sendall(b"PUT /-/instances/" + UNREADABLE_ID + b" HTTP/1.1\r\nHost: control\r\n"
                               b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return int(connection.recv(400).split(b" ")[1])
    except (OSError, ValueError, IndexError):
        return 0


def write_heartbeats(core, until, sent):
    """As replicas do: to the nodes in turn, and to the next one at once if one doesn't acknowledge it."""
    sequence = random.randrange(len(core))
    while time.monotonic() < until:
        sequence += 1
        for place in range(len(core)):
            ip = core[(sequence + place) % len(core)]
            status = heartbeat_of_another_writer(ip, sequence)
            sent[ip, status] += 1
            if 200 <= status < 300:
                break
        time.sleep(BEAT_S)


def document(version, service):
    route = {"host": HOST, "kind": "unsafe", "timeout-ms": 1000, "target-latency-ms": 100, "priority": 1,
             "max-attempts": 1, "allow-anonymous": True}
    return configuration(version, [{**route, "name": "r-brief", "path-prefix": "/brief/", "service": service}],
                         ["copydesk", "trafficking"])


def main(record):
    deployment = Deployment(fronts=3)
    try:
        deployment.start()
        core = [machine.ip for machine in deployment.of("core")]
        operator = Operator(deployment)
        if operator.put(document(1, "copydesk"))[0] != 200:
            return 2
        services = {"copydesk": SoundReplica(), "trafficking": SoundReplica()}
        for index, (name, replica) in enumerate(services.items()):
            Replica("i-%s-1" % name, name, deployment.zones[index], deployment.next_ip(), core, replica.handle)
        if not serves(deployment, FRONT, HOST, "/brief/", {}):
            return 2
        time.sleep(SETTLE_S)
        sent = collections.Counter()
        if TROUBLE:
            writer = threading.Thread(target=write_heartbeats,
                                      args=(core, time.monotonic() + WRITER_FOR_S, sent))
            writer.start()
            writer.join()
        else:
            time.sleep(WRITER_FOR_S)
        status, _ = operator.put(document(2, "trafficking"))
        acknowledged = time.monotonic()
        if status != 200:
            return 2
        # Beyond `config-apply-ms`, and beyond what an unstable core could excuse.
        time.sleep((BOUNDS["config-apply-ms"] + BOUNDS["max-skew-ms"]) / 1000.0 + 1.0)
        asked = []
        for number in range(10):
            for machine in deployment.of("front"):
                name = "late-%s-%d" % (machine.ip.rsplit(".", 1)[1], number)
                status, _, _ = call(machine.ip, FRONT, "POST", "/brief/x", b"{}",
                                    {"Host": HOST, "Attempt-Id": name, "Deadline-Ms": "1000"})
                asked.append((name, machine.name, time.monotonic() - acknowledged, status))
            time.sleep(0.2)
        held, _ = operator.read(3.0)
        old = [item for item in asked if item[0] in services["copydesk"].runs]
        new = [item for item in asked if item[0] in services["trafficking"].runs]
        record.write("disruption: %s\n" % ("on" if TROUBLE else "off"))
        record.write("heartbeats of the other writer, by status of the answer: %s\n" % dict(
            (status, sum(n for (_, other), n in sent.items() if other == status)) for _, status in sent))
        record.write("read back from the core: version %s\n" % (held["version"] if held else "none"))
        record.write("processes that run: %s\n" % {m.name: m.is_running() for m in deployment.machines})
        record.write("CONFIG: requests sent over %d ms after the ack of version 2: %d; run by the service of version 2: "
                     "%d, by that of version 1: %d\n" % (BOUNDS["config-apply-ms"], len(asked), len(new), len(old)))
        for name, gateway, after, status in asked:
            record.write("  %s at %s, %.2f s after the ack: %d, %s\n" % (
                name, gateway, after, status, "old service" if name in services["copydesk"].runs else
                "new service" if name in services["trafficking"].runs else "not run"))
        for machine in deployment.of("front"):
            lines = machine.log().splitlines()
            record.write("%s: link_bad_frame logged %d times; last: %s\n" % (
                machine.name, sum("link_bad_frame" in line for line in lines),
                next((line for line in reversed(lines) if "link_bad_frame" in line), "none")))
        return 1 if old else 0 if len(new) == len(asked) else 2
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
