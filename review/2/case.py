"""A replica sends a second copy of some of its answers, late; requests that may not run twice are refused, and run."""

import collections
import os
import sys
import threading
import time
import traceback

from deployment import FRONT, Deployment
from standins import Operator, Replica, answer, call, configuration, serves

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, WORK_S, SLOTS, QUEUE = "orders.example", 0.03, 4, 2
TROUBLE_AT_S, TROUBLE_FOR_S, LOAD_FOR_S = 3.0, 5.0, 12.0
BURST_EVERY_S = 0.25
SPOILED_SHARE = 0.03  # of the answers that this replica gives while the disruption lasts
MOST_ATTEMPTS = {"/two/": 2, "/three/": 3}
PROMISES = (408, 421, 429, 503)


class FullReplica:
    """Runs `SLOTS` requests, queues a few more and refuses the rest by `Not-Executed`."""

    def __init__(self):
        self.lock = threading.Lock()
        self.slots = threading.Semaphore(SLOTS)
        self.held = 0
        self.runs = collections.defaultdict(list)  # request: times at which work on it began
        self.answers = self.refusals = self.spoiled = 0  # while the disruption lasts
        self.trouble_until = 0.0
        self.extra = {}  # connection: the second copy that is still to come on it

    def may_spoil(self):
        if not TROUBLE or time.monotonic() >= self.trouble_until:
            return False
        if self.spoiled + 1 > SPOILED_SHARE * self.answers:
            return False
        self.spoiled += 1
        return True

    def handle(self, replica, connection, request):
        with self.lock:
            lasts = time.monotonic() < self.trouble_until
            self.answers += lasts
            is_full = self.held >= SLOTS + QUEUE
            self.held += 0 if is_full else 1
            self.refusals += lasts and is_full
            late = self.extra.pop(connection, None)
            spoils = is_full and self.may_spoil()
        if late:
            connection.sendall(late)  # where the caller expects the next answer
        if is_full:
            refusal = answer(503, request, b"", [("Not-Executed", "1")])
            if spoils:
                self.extra[connection] = refusal
            connection.sendall(refusal)
            return
        with self.slots:
            with self.lock:
                self.runs[request["id"]].append(time.monotonic())
            time.sleep(WORK_S)
            with self.lock:
                self.held -= 1
        connection.sendall(answer(200, request, b"done " + request["id"].encode(),
                                  [("Response-Stamp", "stamp-" + replica.name)]))


def run_clients(deployment, answers, until):
    """Users that come together: one at each gateway, by turns on each path."""
    start = time.monotonic()

    def client(ip, path, number):
        count = 0
        while time.monotonic() < until:
            count += 1
            time.sleep(max(0.0, start + (2 * count + number) * BURST_EVERY_S - time.monotonic()))
            name = "%s-%s-%d-%d" % (path.strip("/"), ip.rsplit(".", 1)[1], number, count)
            status, _, _ = call(ip, FRONT, "POST", path + "order", b"{}",
                                     {"Host": HOST, "Attempt-Id": name, "Deadline-Ms": "1000"})
            answers[name] = status
    threads = [threading.Thread(target=client, args=(machine.ip, path, number))
               for machine in deployment.of("front") for number, path in enumerate(MOST_ATTEMPTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def main(record):
    deployment = Deployment(fronts=8)
    try:
        deployment.start()
        core = [machine.ip for machine in deployment.of("core")]
        route = {"host": HOST, "kind": "unsafe", "timeout-ms": 1000, "target-latency-ms": 100, "priority": 1,
                 "service": "orders", "allow-anonymous": True}
        document = configuration(
            1, [{**route, "name": "r" + path.strip("/"), "path-prefix": path, "max-attempts": most}
                for path, most in MOST_ATTEMPTS.items()] +
            [{**route, "name": "rstock", "path-prefix": "/stock/", "max-attempts": 2, "service": "stock"}],
            ["orders", "stock"])
        if Operator(deployment).put(document)[0] != 200:
            return 2
        subject = FullReplica()
        Replica("i-orders-1", "orders", "kariakoo", deployment.next_ip(), core, subject.handle, SLOTS)
        Replica("i-stock-1", "stock", "msasani", deployment.next_ip(), core, FullReplica().handle, SLOTS)
        if not all(serves(deployment, FRONT, HOST, path, {}) for path in [*MOST_ATTEMPTS, "/stock/"]):
            return 2
        start = time.monotonic()
        answers = {}

        def begin_trouble():
            with subject.lock:
                subject.trouble_until = time.monotonic() + TROUBLE_FOR_S
        threading.Timer(TROUBLE_AT_S, begin_trouble).start()
        run_clients(deployment, answers, start + LOAD_FOR_S)
        time.sleep(1.5)
        refused = sorted(name for name, status in answers.items() if status in PROMISES)
        broken = [name for name in refused if subject.runs.get(name)]
        twice = sorted(name for name, times in subject.runs.items() if len(times) > 1)
        record.write("disruption: %s\n" % ("on" if TROUBLE else "off"))
        record.write("answers by status: %s\n" % dict(collections.Counter(answers.values())))
        record.write("while the disruption may last, of the replica: %d answers, %d refusals, %d second copies\n" %
                     (subject.answers, subject.refusals, subject.spoiled))
        record.write("REFUSED: answered by a promise and run: %d of %d\n" % (len(broken), len(refused)))
        record.write("TWICE: run more than once: %d\n" % len(twice))
        for name in sorted(set(broken) | set(twice)):
            record.write("  %s: answered %s, runs at %s s\n" % (
                name, answers.get(name), ", ".join("%.3f" % (t - start) for t in subject.runs[name])))
            for machine in deployment.of("front"):
                record.writelines("    %s\n" % line for line in machine.log().splitlines()
                                  if "request=" + name + " " in line)
        record.write("all requests: answer, runs\n")
        for name in sorted(answers):
            record.write("  %s: %s, %s\n" % (name, answers[name], ", ".join(
                "%.3f s" % (t - start) for t in subject.runs.get(name, [])) or "not run"))
        if len(answers) < 100 or not any(status == 200 for status in answers.values()):
            return 2
        return 1 if broken or twice else 0
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
