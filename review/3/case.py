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
HOST, ZONES = "ledger.example", ("kgn-a", "kgn-b", "spt-c")
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

    def __init__(self, zone, record, start):
        self.zone, self.record, self.start, self.open = zone, record, start, []

    def order(self, method, ips):
        """Sends an order to one node after the other until it is acknowledged; when that was."""
        for ip in ips * 20:
            began = time.monotonic()
            status = 0
            try:
                connection = socket.create_connection((ip, CONTROL), timeout=ANSWER_LIMIT_S)
                self.open.append(connection)
                connection.sendall(("%s /-/evacuations/%s HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n" %
                                    (method, self.zone)).encode())
                status = int(connection.recv(4096).split(b" ")[1])
            except (OSError, IndexError, ValueError):
                pass
            self.record.write("%.2f s: %s of %s sent to %s; answer %s %.2f s later\n" % (
                began - self.start, method, self.zone, ip, status or "none", time.monotonic() - began))
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


def play_round(site, zone, replica, record, start, results):
    """Evacuates a zone, takes that back and evacuates it again; returns the requests that reach it too late."""
    core = [machine.ip for machine in site.of("core")]
    operator = PatientOperator(zone, record, start)
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
    # Longer than a core that was not stable could excuse.
    counted_from = acknowledged + (base.BOUNDS["evac-ms"] + base.BOUNDS["max-skew-ms"]) / 1000.0
    ask(site, results, counted_from + 4.0, "late-" + zone)
    late = sorted((at, name) for name, at in replica.runs.items() if at > counted_from)
    record.write("the last evacuation of %s was acknowledged at %.2f s; counted from %.2f s on (evac-ms, max-skew-ms)\n" % (
        zone, acknowledged - start, counted_from - start))
    record.write("EVAC: requests that reached the replica of %s from then on: %d\n" % (zone, len(late)))
    for at, name in late[:20]:
        record.write("  %.2f s: %s from %s\n" % (at - start, name, results.get(name, ("?",))[0]))
    operator.order("DELETE", core)
    return late


def main(record):
    site = Deployment(fronts=3, zones=ZONES)
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
        record.write("disruption: %s\n" % ("on" if TROUBLE else "off"))
        start, results, late = time.monotonic(), {}, []
        # A registrar that wakes may refuse the order instead, where it holds an election first: four tries.
        for zone in [*ZONES, ZONES[0]]:
            replica = replicas[zone]
            replica.runs.clear()
            time.sleep(base.BOUNDS["contact-ms"] / 1000.0 + 0.5)
            late = play_round(site, zone, replica, record, start, results)
            if late:
                break
        for machine in site.of("core"):
            record.writelines("%s: %s\n" % (machine.name, line) for line in machine.log().splitlines()
                              if "drain_" in line)
        by_status = collections.Counter(status for _, status in results.values())
        record.write("answers by status: %s\n" % dict(by_status))
        record.write("all requests after the last order: gateway, answer, zone and time of the run\n")
        for name, (gateway, status) in results.items():
            runs = ["%s at %.2f s" % (zone, replica.runs[name] - start)
                    for zone, replica in replicas.items() if name in replica.runs]
            record.write("  %s: %s, %s, %s\n" % (name, gateway, status, ", ".join(runs) or "not run"))
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
