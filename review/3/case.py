"""A withdrawal of an evacuation waits at a frozen registrar, and undoes a later evacuation that was acknowledged."""

import collections
import json
import os
import signal
import socket
import threading
import time
import traceback

import deployment as base
from deployment import CONTROL, FRONT, Deployment
from standins import Operator, Replica, answer, call, configuration, serves

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, ZONE = "ledger.example", "kgn-a"
# Of bluemahoe-nav-grown, where they differ from those of kilima-adops.
base.BOUNDS.update({"contact-ms": 4000, "ack-ms": 5000, "drain-ms": 2500, "config-apply-ms": 2500,
                    "max-skew-ms": 6000, "evac-ms": 5000, "recover-s": 15})
FREEZE_S = 7.0
ANSWER_LIMIT_S = 1.0  # then the operator moves on to another node


class SoundReplica:
    def __init__(self):
        self.runs = {}

    def handle(self, replica, connection, request):
        self.runs[request["id"]] = time.monotonic()
        time.sleep(0.01)
        connection.sendall(answer(200, request, b"done", [("Response-Stamp", "stamp-" + replica.name)]))


class PatientOperator:
    """Moves on to the next node after a second without an answer; leaves the connections of its calls open."""

    def __init__(self, record, start):
        self.record, self.start, self.open = record, start, []

    def order(self, method, ips):
        """Sends an order to one node after the other until it is acknowledged; when that was."""
        for ip in ips * 20:
            began = time.monotonic()
            status = 0
            try:
                connection = socket.create_connection((ip, CONTROL), timeout=ANSWER_LIMIT_S)
                self.open.append(connection)
                connection.sendall(("%s /-/evacuations/%s HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n" %
                                    (method, ZONE)).encode())
                status = int(connection.recv(4096).split(b" ")[1])
            except (OSError, IndexError, ValueError):
                pass
            self.record.write("%.2f s: %s sent to %s; answer %s %.2f s later\n" % (
                began - self.start, method, ip, status or "none", time.monotonic() - began))
            if 200 <= status < 300:
                return time.monotonic()
        raise TimeoutError("no node acknowledged the order")


def leader_of(site):
    """The address of the registrar that leads, by the last that a log says of it; the freeze hits another one."""
    beliefs = [line for machine in site.of("core") for line in machine.log().splitlines()
               if "event=log_belief" in line and "leader=tcp://" in line]
    return max(beliefs).split("leader=tcp://")[1].split(":")[0] if beliefs else None


def ask(site, results, until, name):
    number = 0
    while time.monotonic() < until:
        for machine in site.of("front"):
            number += 1
            request = "%s-%d" % (name, number)
            status, _, _ = call(machine.ip, FRONT, "POST", "/order/x", b"{}",
                                {"Host": HOST, "Attempt-Id": request, "Deadline-Ms": "1000"})
            results[request] = (machine.name, status)
        time.sleep(0.1)


def main(record):
    site = Deployment(fronts=3, zones=("kgn-a", "kgn-b", "spt-c"))
    try:
        site.start()
        core = [machine.ip for machine in site.of("core")]
        route = {"name": "r-order", "host": HOST, "path-prefix": "/order/", "kind": "unsafe", "timeout-ms": 2500,
                 "target-latency-ms": 200, "priority": 1, "max-attempts": 1, "allow-anonymous": True,
                 "service": "member-ledger"}
        if Operator(site).put(configuration(1, [route], ["member-ledger"]))[0] != 200:
            return 2
        replicas = {zone: SoundReplica() for zone in site.zones}
        for zone, replica in replicas.items():
            Replica("i-" + zone, "member-ledger", zone, site.next_ip(), core, replica.handle)
        if not serves(site, FRONT, HOST, "/order/", {}):
            return 2
        time.sleep(4.0)
        start = time.monotonic()
        operator = PatientOperator(record, start)
        record.write("disruption: %s\n" % ("on" if TROUBLE else "off"))
        operator.order("POST", core)
        leader = leader_of(site)
        frozen = [machine for machine in site.of("core") if machine.ip != leader][-1]
        if TROUBLE:
            frozen.child.send_signal(signal.SIGSTOP)
            threading.Timer(FREEZE_S, frozen.child.send_signal, (signal.SIGCONT,)).start()
            record.write("%.2f s: %s stands still for %.1f s\n" % (time.monotonic() - start, frozen.name, FREEZE_S))
        others = [ip for ip in core if ip != frozen.ip]
        operator.order("DELETE", [frozen.ip] + others)
        time.sleep(1.0)
        acknowledged = operator.order("POST", others)
        results = {}
        ask(site, results, acknowledged + 18.0, "late")
        counted_from = acknowledged + (base.BOUNDS["evac-ms"] + base.BOUNDS["max-skew-ms"]) / 1000.0
        late = sorted((at, name) for name, at in replicas[ZONE].runs.items() if at > counted_from)
        record.write("the last evacuation was acknowledged at %.2f s; counted from %.2f s on (evac-ms, max-skew-ms)\n" % (
            acknowledged - start, counted_from - start))
        record.write("EVAC: requests that reached the replica of %s from then on: %d of %d\n" % (
            ZONE, len(late), len(results)))
        for at, name in late[:20]:
            record.write("  %.2f s: %s from %s\n" % (at - start, name, results.get(name, ("?",))[0]))
        for machine in site.of("core"):
            record.writelines("%s: %s\n" % (machine.name, line) for line in machine.log().splitlines()
                              if "drain_" in line)
        by_status = collections.Counter(status for _, status in results.values())
        record.write("answers by status: %s\n" % dict(by_status))
        return 1 if late else 0 if by_status[200] > len(results) / 2 else 2
    finally:
        site.stop()


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
