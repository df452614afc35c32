"""Replicas of a new version write a field as text; after 4,096 of their heartbeats the core answers nobody."""

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
WRITERS, WRITERS_FOR_S = 63, 84.0  # as many as the model replicas of the grown deployment
# Sixty bytes of the value in JSON, its quotes included, end inside a letter of two bytes.
SLOTS = "\u00ed\u00fe\u00f3tt " * 8 + "t\u00f3lf r\u00e1sir \u00fear af fj\u00f3rar fr\u00e1teknar \u00e1 n\u00f3ttunni"


def is_cut_inside_a_letter(text):
    try:
        json.dumps(text, ensure_ascii=False).encode()[:60].decode()
        return False
    except UnicodeDecodeError:
        return True


def writer(core, number, until, sent, lock):
    """As replicas do: to one node, and to the next one if that doesn't acknowledge it."""
    sequence = 0
    time.sleep(BEAT_S * number / WRITERS)
    while time.monotonic() < until:
        sequence += 1
        body = json.dumps({"service": "copydesk", "address": "127.0.0.1:9", "zone": "kariakoo", "version": "v2",
                           "slots": SLOTS, "state": "ready", "sequence": sequence, "cold-remaining-ms": 0},
                          ensure_ascii=False).encode()
        began = time.monotonic()
        for place in range(len(core)):
            status, _, _ = call(core[(number + place) % len(core)], CONTROL, "PUT", "/-/instances/i-new-%d" % number,
                                body, {"Content-Type": "application/json"}, limit_s=1.0)
            with lock:
                sent[status] += 1
            if 200 <= status < 300:
                break
        time.sleep(max(0.0, began + BEAT_S - time.monotonic()))


def serve(replica, connection, request):
    time.sleep(0.01)
    connection.sendall(answer(200, request, b"done", [("Response-Stamp", "stamp-" + replica.name)]))


def main(record):
    deployment = Deployment(fronts=2)
    try:
        if not is_cut_inside_a_letter(SLOTS):
            return 2
        deployment.start()
        core = [machine.ip for machine in deployment.of("core")]
        route = {"name": "r-brief", "host": HOST, "path-prefix": "/brief/", "kind": "unsafe", "timeout-ms": 1000,
                 "target-latency-ms": 100, "priority": 1, "max-attempts": 1, "allow-anonymous": True,
                 "service": "copydesk"}
        operator = Operator(deployment)
        if operator.put(configuration(1, [route], ["copydesk"]))[0] != 200:
            return 2
        sound = Replica("i-copydesk-1", "copydesk", "msasani", deployment.next_ip(), core, serve)
        if not serves(deployment, FRONT, HOST, "/brief/", {}):
            return 2
        sent, lock = collections.Counter(), threading.Lock()
        until = time.monotonic() + WRITERS_FOR_S
        if TROUBLE:
            threads = [threading.Thread(target=writer, args=(core, number, until, sent, lock))
                       for number in range(WRITERS)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        else:
            time.sleep(3.0)
        # The writers are gone. `contact-ms` later the operator reads, for longer than `contact-ms`, and changes.
        time.sleep(3.0)
        acknowledged = sound.acknowledged
        held, seen = operator.read(5.0)
        status, text = operator.put(configuration(2, [route], ["copydesk"]), 4.0)
        record.write("disruption: %s\n" % ("on" if TROUBLE else "off"))
        record.write("heartbeats of the new version, by status of the answer (0: none): %s\n" % dict(sent))
        record.write("CONFIG: read back 3 s after the last of them, for 5 s: %s; answers by node and status: %s\n" % (
            "version %s" % held["version"] if held else "nothing came", {"%s: %d" % k: n for k, n in seen.items()}))
        record.write("a valid change after that, for 4 s: %s %s\n" % (status, text.decode(errors="replace")))
        record.write("heartbeats of the sound replica acknowledged since: %d\n" % (sound.acknowledged - acknowledged))
        record.write("processes that run: %s\n" % {m.name: m.is_running() for m in deployment.machines})
        return 0 if held and status == 200 else 1 if TROUBLE else 2
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
