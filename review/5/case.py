"""One part of long prompts ends each replica that begins an answer on it; such requests are passed on without end."""

import collections
import os
import random
import socket
import struct
import threading
import time
import traceback

from deployment import BOUNDS, FRONT, Deployment
from standins import Operator, Replica, answer, call, configuration, serves

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTS = 10  # of each prompt
DEADLY_PLACE = int(os.environ.get("DEADLY_PLACE", "8"))  # from 0; the last one, 9, never ends a replica
HOST, REPLICAS, BACK_AFTER_S, EVENTS, EVENT_S = "desk.example", 8, 2.0, 8, 0.05
SOUND_EVERY_S, DEADLY_EVERY_S, DEADLY_FOR_S = 0.1, 1.2, 36.0
DEADLY_PART, MOST_AFTER, CRASHES = "dead0001", 3, 5


class Copydesk:
    """The replicas of a service, and what reached them."""

    def __init__(self, deployment, core):
        self.deployment, self.core = deployment, core
        self.lock = threading.Lock()
        self.arrivals = []  # time and request id of each request with the deadly part
        self.crashes = []
        self.served = 0
        self.starts = 0
        self.connections = collections.defaultdict(set)
        for _ in range(REPLICAS):
            self.start_one()

    def start_one(self):
        with self.lock:
            self.starts += 1
            number = self.starts
        zone = self.deployment.zones[number % len(self.deployment.zones)]
        Replica("i-copydesk-%d" % number, "copydesk", zone, self.deployment.replica_ip, self.core, self.handle)

    def handle(self, replica, connection, request):
        with self.lock:
            self.connections[replica].add(connection)
        if not replica.is_announcing:
            return
        parts = [part.split(":")[0] for part in request["fields"].get("prompt-prefix", "").split(",")]
        is_deadly = DEADLY_PART in parts[:-1]
        if is_deadly:
            with self.lock:
                self.arrivals.append((time.monotonic(), request["id"]))
        first = int(request["fields"].get("last-event-id", 0))
        head = ["HTTP/1.1 200 OK", "Attempt-Id: " + request["id"], "Response-Stamp: stamp-" + replica.name,
                "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first + 1, EVENTS + 1):
            data = b"id: %d\ndata: words\n\n" % number
            connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            if is_deadly:
                time.sleep(0.02)
                return self.crash(replica)
            time.sleep(EVENT_S)
        connection.sendall(b"0\r\n\r\n")
        with self.lock:
            self.served += 1

    def crash(self, replica):
        """The process ends: all its connections are reset, and none is taken. Another boot comes later."""
        with self.lock:
            if not replica.is_announcing:
                return
            replica.is_announcing = False
            self.crashes.append(time.monotonic())
            connections = self.connections.pop(replica, ())
        replica.listener.shutdown(socket.SHUT_RDWR)
        replica.listener.close()
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
                os.close(connection.detach())
            except OSError:
                pass  # it was over
        threading.Timer(BACK_AFTER_S, self.start_one).start()


def prompt(number, is_deadly):
    """All parts but one and the last are the same in all prompts; the last one is each request's own."""
    parts = ["%08x" % (0xa0000000 + place) for place in range(PARTS - 1)] + ["%08x" % (0xc0000000 + number)]
    if is_deadly:
        parts[DEADLY_PLACE] = DEADLY_PART
    return ",".join(part + ":40" for part in parts)


def send(deployment, number, is_deadly, results, lines):
    machine = random.choice(deployment.of("front"))
    fields = {"Host": HOST, "Attempt-Id": "%s-%d" % ("deadly" if is_deadly else "sound", number),
              "Deadline-Ms": "4000", "Model": "m", "Token-Count": "400,8", "Prompt-Prefix": prompt(number, is_deadly)}
    status, _, body = call(machine.ip, FRONT, "POST", "/brief/x", b"{}", fields)
    results[is_deadly, status] += 1
    lines.append("  %s at %s: %s\n" % (fields["Attempt-Id"], machine.name, status or "broken off"))


def main(record):
    deployment = Deployment(fronts=3)
    deployment.replica_ip = deployment.next_ip()
    try:
        deployment.start()
        core = [machine.ip for machine in deployment.of("core")]
        route = {"name": "r-brief", "host": HOST, "path-prefix": "/brief/", "kind": "streaming", "timeout-ms": 8000,
                 "target-latency-ms": 400, "gap-aim-ms": 120, "priority": 1, "max-attempts": 2,
                 "allow-anonymous": True, "stream-resume": True, "session-affinity": True, "service": "copydesk"}
        if Operator(deployment).put(configuration(1, [route], ["copydesk"]))[0] != 200:
            return 2
        subject = Copydesk(deployment, core)
        if not serves(deployment, FRONT, HOST, "/brief/", {}):
            return 2
        time.sleep(3.0)
        results, lines, threads, number = collections.Counter(), [], [], 0
        start = time.monotonic()
        next_deadly = start + 3.0
        while time.monotonic() < start + 3.0 + DEADLY_FOR_S:
            is_deadly = TROUBLE and time.monotonic() >= next_deadly
            next_deadly += DEADLY_EVERY_S if is_deadly else 0.0
            number += 1
            threads.append(threading.Thread(target=send, args=(deployment, number, is_deadly, results, lines)))
            threads[-1].start()
            time.sleep(SOUND_EVERY_S)
        for thread in threads:
            thread.join()
        fifth = subject.crashes[CRASHES - 1] if len(subject.crashes) >= CRASHES else None
        since = fifth + BOUNDS["contact-ms"] / 1000.0 if fifth else None
        late = [(at, name) for at, name in subject.arrivals if since and at > since]
        record.write("disruption: %s; place of the deadly part: %d of %d parts, from 0\n" % (
            "on" if TROUBLE else "off", DEADLY_PLACE, PARTS))
        record.write("answers to sound requests by status: %s\n" % {s: n for (d, s), n in results.items() if not d})
        record.write("answers to requests with the deadly part: %s\n" % {s: n for (d, s), n in results.items() if d})
        record.write("crashes of replicas at %s s\n" % ", ".join("%.1f" % (t - start) for t in subject.crashes))
        if since:
            record.write("fifth crash at %.2f s; counted from %.2f s on\n" % (fifth - start, since - start))
        record.write("BUDGET: requests with that part that reached replicas from then on: %d; three are allowed\n" % len(late))
        record.writelines("  %.2f s: %s\n" % (at - start, name) for at, name in late)
        record.write("all requests: gateway, answer\n")
        record.writelines(lines)
        if not results[False, 200] or (TROUBLE and not subject.crashes):
            return 2
        return 1 if len(late) > MOST_AFTER else 0
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
