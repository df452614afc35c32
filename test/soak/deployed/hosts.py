"""The hosts of a deployment: gateways, registrars and rank agents with the settings that `deploy/` gives
them, each host with a loopback address of its own."""

import json
import os
import random
import shutil
import socket
import threading
import time

from dewbeam_site import Process
from platform_standins import call
from soak.deployed.replicas import SERVICES, Replica
from soak.deployed.settings import BOUNDS, PROGRAMS, settings_of

ZONES = ["is-west-a", "is-west-b", "is-west-c"]
FRONT, READY, CONTROL, LINKS = 8227, 8220, 8229, [7340, 7355]
FIRST_NET, LAST_NET = 20, 250
GROUP_SIZE = 8
START_LIMIT_S = 60.0
SEED_LAG_S = 3.0  # of the operator's list
READY_PATH = "/-/ready"


class Size:
    def __init__(self, gateways=7, registrars=3, groups=2, plain=3, clients=100, per_second=85.0):
        self.gateways, self.registrars, self.groups, self.plain = gateways, registrars, groups, plain
        self.clients, self.per_second = clients, per_second


def take_net():
    """A second octet of loopback addresses that no run beside this one uses, and what holds it."""
    for octet in range(FIRST_NET, LAST_NET):
        owner = socket.socket()
        try:
            owner.bind(("127.%d.0.1" % octet, LINKS[0] - 1))
            return octet, owner
        except OSError:
            owner.close()
    raise OSError("no loopback net is free")


class Deployment:
    """Starts everything; names gateways g0.., registrars r0.. and the ranks' agents after their upstream."""

    def __init__(self, bin_folder, deploy_folder, work, size, records, seed):
        self.bin, self.deploy, self.work, self.size = bin_folder, deploy_folder, work, size
        self.records = records
        self.random = random.Random(seed * 104729)
        self.net, self.net_owner = take_net()
        self.next_host = 0
        self.processes = {}
        self.fields = {}
        self.upstreams = []
        self.lock = threading.Lock()
        self.is_ending = False
        self.gateways = ["g%d" % index for index in range(size.gateways)]
        self.registrars = ["r%d" % index for index in range(size.registrars)]
        for index, name in enumerate(self.registrars):
            self.add_host(name, "registrar", index)
        for index, name in enumerate(self.gateways):
            self.add_host(name, "gateway", index)
        self.operator_list = [(time.monotonic(), list(self.registrars))]
        first_seeds = [self.address(name, CONTROL) for name in self.registrars[:3]]
        for name in self.registrars + self.gateways:
            self.fields[name]["seeds"] = first_seeds
            self.start(name)
        self.controls = {name: self.address(name, CONTROL) for name in self.registrars}
        for index in range(size.groups * GROUP_SIZE):
            group = ("group-%d" % (index // GROUP_SIZE), index % GROUP_SIZE, GROUP_SIZE)
            self.add_upstream("assist-lm", ZONES[index % len(ZONES)], group)
        for index in range(size.plain):
            self.add_upstream("vault-api", ZONES[index % len(ZONES)])

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.is_ending = True
        for process in list(self.processes.values()):
            if process.is_running():
                process.kill()
        for upstream in self.upstreams:
            upstream.thawed.set()
            upstream.is_announcing = False
            if not upstream.has_ended:
                upstream.stop()
        self.net_owner.close()

    def add_host(self, name, role, index, app=None):
        self.next_host += 1
        ip = "127.%d.%d.%d" % (self.net, 1 + index % len(ZONES), 1 + self.next_host % 250)
        self.fields[name] = {
            "node-name": name, "zone": ZONES[index % len(ZONES)], "ip": ip, "internal-ports": LINKS,
            "bootstrap": True, "bounds": BOUNDS, "fault-tolerance": {"machines": 1, "zones": 1},
            "limits": {"link-mbps": 20.0}, "zones": {zone: "is-west" for zone in ZONES},
            "listen": {"front": "%s:%d" % (ip, FRONT), "ready": "%s:%d" % (ip, READY),
                       "control": "%s:%d" % (ip, CONTROL)},
            "data-dir": os.path.join(self.work, "data-" + name), "seeds": []}
        if app:
            self.fields[name]["app"] = app
        self.processes[name] = Process(self, name, PROGRAMS[role], {"role": role})

    def seeds(self):
        """Three registrars of the operator's list, which lags."""
        seen = [names for at, names in self.operator_list
                if at <= max(self.operator_list[0][0], time.monotonic() - SEED_LAG_S)]
        names = self.random.sample(seen[-1], min(3, len(seen[-1])))
        return [self.address(name, CONTROL) for name in names]

    def start(self, name):
        if self.is_ending:
            return
        process, fields = self.processes[name], self.fields[name]
        fields["seeds"] = fields["seeds"] if fields["bootstrap"] else self.seeds()
        role = {program: role for role, program in PROGRAMS.items()}[process.program]
        process.settings = settings_of(self.deploy, role, fields)
        process.start()
        fields["bootstrap"] = False

    def replace_registrar(self, name):
        """Removes a registrar for good; an empty one at another address takes its place."""
        self.processes[name].kill()
        index = self.registrars.index(name)
        successor = "r%d" % (100 + self.next_host)
        self.add_host(successor, "registrar", index)
        self.fields[successor]["bootstrap"] = False
        self.registrars[index] = successor
        self.operator_list.append((time.monotonic(), list(self.registrars)))
        del self.controls[name]
        self.start(successor)
        self.controls[successor] = self.address(successor, CONTROL)
        return successor

    def lose_disk(self, name):
        shutil.rmtree(self.fields[name]["data-dir"], ignore_errors=True)

    def address(self, name, port):
        return "%s:%d" % (self.fields[name]["ip"], port)

    def front(self, name):
        return self.fields[name]["ip"], FRONT

    def control_addresses(self, caller):
        """All registrars, in an order of the caller's own."""
        addresses = list(self.controls.values())
        random.Random(caller + str(time.monotonic() // 10)).shuffle(addresses)
        return addresses

    def add_upstream(self, service, zone, group=None):
        upstream = Replica(self, service, zone, group)
        with self.lock:
            self.upstreams.append(upstream)
        if group:
            name = "s-" + upstream.name
            self.add_host(name, "rank", ZONES.index(zone), upstream.address)
            self.fields[name]["bootstrap"] = False
            self.start(name)
        return upstream

    def replace(self, upstream):
        """Called once an upstream has crashed."""
        if self.is_ending:
            return
        agent = self.processes.get("s-" + upstream.name)
        if agent and agent.is_running():
            agent.kill()
        with self.lock:
            self.upstreams.remove(upstream)
        self.add_upstream(upstream.service, upstream.domain, upstream.group)

    def status(self, name):
        port = READY if name in self.gateways else CONTROL
        status, body = call(self.address(name, port), "GET", "/v1/status", limit_s=1.0)
        return json.loads(body) if status == 200 else None

    def is_ready(self, gateway):
        return call(self.address(gateway, READY), "GET", READY_PATH, limit_s=1.0)[0] == 200

    def knows_all(self, gateway):
        page = self.status(gateway)
        return page is not None and page["revision"] > 0 and \
            len(page["upstreams"]) >= len(self.upstreams)

    def configuration(self, version):
        route = {"host": "vault.example", "max-attempts": 2, "priority": 1}
        stream = {**route, "name": "log-explain", "path-prefix": "/stream/", "kind": "streaming",
                  "service": "assist-lm", "timeout-ms": 8000, "target-latency-ms": 400,
                  "stream-resume": True, "session-affinity": True, "gap-aim-ms": 120}
        plain = {**route, "service": "vault-api", "timeout-ms": 1000, "target-latency-ms": 100}
        return {"version": version,
                "routes": [stream,
                           {**plain, "name": "restore-run", "path-prefix": "/once/", "kind": "unsafe"},
                           {**plain, "name": "snapshot-list", "path-prefix": "/safe/", "kind": "safe"},
                           {**plain, "name": "spare-%d" % version, "path-prefix": "/spare-%d/" % version,
                            "kind": "safe"}],
                "services": [{"name": name, "health-path": "/healthz", "max-connections": 348}
                             for name in SERVICES],
                "tenants": [{"name": "t1", "api-keys": ["key-1"]}]}
