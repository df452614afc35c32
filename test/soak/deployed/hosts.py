"""The hosts of a deployment: gateways, registrars and rank agents with the settings that `deploy/` gives
them, each host with a loopback address of its own."""

import itertools
import json
import os
import random
import socket
import subprocess
import threading
import time

from dewbeam_site import Process
from platform_standins import call
from soak.deployed import synced_files
from soak.deployed.clients import View
from soak.deployed.link_proxy import Links
from soak.deployed.replicas import DOWN_S
from soak.deployed.settings import PROGRAMS, settings_of
from soak.deployed.upstream_process import UpstreamProcess
from soak.promises import now

FRONT, READY, CONTROL, LINKS, INNER_LINK = 8227, 8220, 8229, [7340, 7355], 7440
FIRST_NET, LAST_NET = 20, 250
START_LIMIT_S = 60.0
SEED_LAG_S = 3.0  # of the operator's list
UPSTREAMS_PER_PROCESS = 13
MOST_HOSTS = 250
ADDRESS_REUSE_S = 2.0  # before an address that was left may be given to another host


class Upstream:
    """What the soak knows of an upstream that runs in another process."""

    def __init__(self, name, service, domain, group, process):
        self.name, self.service, self.domain, self.group = name, service, domain, group
        self.process = process
        self.trouble = None

    def set_trouble(self, trouble, backoff_s=1.0):
        self.trouble = trouble
        self.process.send("trouble", self.name, trouble, backoff_s)

    def crash(self):
        self.process.send("crash", self.name)

    def leave(self):
        """Announces its end, serves on for a while, and goes."""
        self.process.send("leave", self.name)


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
    """Starts everything; names gateways g0.., registrars r0.. and the ranks' agents after their upstream.

    `keeps_settings`: a host's settings stay as they were at its first start, as where an operator writes
    them once and a supervisor starts programs again."""

    def __init__(self, bin_folder, deploy_folder, work, description, records, seed, keeps_settings=False):
        self.bin, self.deploy, self.work, self.description = bin_folder, deploy_folder, work, description
        self.records, self.keeps_settings = records, keeps_settings
        self.random = random.Random(seed * 104729)
        self.synced_files = synced_files.build(work) if description.changes_routes else None
        self.net, self.net_owner = take_net()
        self.next_host = 0
        self.next_registrar = itertools.count(1000)
        self.released = []  # (name, domain, time) of hosts that are gone for good
        self.reuses = random.Random(seed * 86028121)
        self.next_upstream = itertools.count()
        self.processes = {}
        self.fields = {}
        self.upstreams = []
        self.services = {}  # of all upstreams that ever were, by name
        self.upstream_processes = []
        self.lock = threading.Lock()
        self.is_ending = False
        self.gateways = self.add_hosts("gateway", "gateways")
        self.registrars = self.add_hosts("registrar", "registrars")
        self.links = self.make_links()
        self.operator_list = [(time.monotonic(), list(self.registrars))]
        first_seeds = [self.address(name, CONTROL) for name in self.registrars[:3]]
        for name in self.registrars + self.gateways:
            self.fields[name]["seeds"] = first_seeds
            self.start(name)
        self.controls = {name: self.address(name, CONTROL) for name in self.registrars}
        self.add_all_upstreams()
        self.view = View(description, {
            name: (self.fields[name]["zone"], (self.fields[name]["ip"], FRONT), self.address(name, READY))
            for name in self.gateways}, seed)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.is_ending = True
        for process in list(self.processes.values()):
            if process.is_running():
                process.kill()
        for process in self.upstream_processes:
            process.end()
        if self.links:
            self.links.end()
        self.net_owner.close()

    def add_hosts(self, role, column):
        names = []
        for index, domain in enumerate(self.description.hosts(column)):
            names.append(role[0] + str(index))
            self.add_host(names[-1], role, domain)
        return names

    def add_host(self, name, role, domain):
        """Gives the host's address."""
        ip = self.take_address(domain)
        self.fields[name] = {
            "node-name": name, "zone": domain, "ip": ip, "internal-ports": LINKS, "bootstrap": True,
            "bounds": self.description.bounds, "fault-tolerance": self.description.losses,
            "limits": {"link-mbps": self.description.link_mbps[role]},
            "zones": {zone: self.description.region for zone in self.description.domains},
            "listen": {"front": "%s:%d" % (ip, FRONT), "ready": "%s:%d" % (ip, READY),
                       "control": "%s:%d" % (ip, CONTROL)},
            "data-dir": os.path.join(self.work, "data-" + name), "seeds": []}
        self.processes[name] = Process(self, name, PROGRAMS[role], {"role": role})
        if role == "registrar" and self.synced_files:
            self.processes[name].environment = synced_files.environment(
                self.synced_files, self.fields[name]["data-dir"])
        return ip

    def take_address(self, domain):
        """A new address, or one that a host of the same domain has left for a while."""
        free = [item for item in self.released
                if item[1] == domain and item[2] <= time.monotonic() - ADDRESS_REUSE_S]
        if free and self.reuses.random() < 0.5:
            self.released.remove(free[0])
            self.links.release(free[0][0])
            return self.fields[free[0][0]]["ip"]
        self.next_host += 1
        places = self.description.domains.index(domain)
        return "127.%d.%d.%d" % (self.net, 1 + places, 1 + self.next_host % 250)

    def release_host(self, name):
        """The host is gone for good: what is sent to it is dropped, until another host has its address."""
        if self.links:
            self.links.drop_new([name], True)
            self.released.append((name, self.fields[name]["zone"], time.monotonic()))

    def add_gateway(self, name, domain):
        """A gateway that clients don't know of."""
        self.add_host(name, "gateway", domain)
        self.fields[name]["bootstrap"] = False
        if self.links:
            self.serve_link(self.links, name)
        self.start(name)

    def all_registrars(self):
        """The names of all registrars that are, were, or may come."""
        return [name for name in self.fields if name.startswith("r")] + \
            ["r%d" % number for number in range(1000, 1000 + MOST_HOSTS)]

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
        fields["seeds"] = fields["seeds"] or self.seeds()
        role = {program: role for role, program in PROGRAMS.items()}[process.program]
        process.settings = settings_of(self.deploy, role, fields)
        if role in ("registrar", "gateway") and self.links:
            process.settings["link"].update(listen=self.inner_link(name),
                                            advertise=self.address(name, LINKS[0]))
        process.start()
        if role == "gateway":
            self.records.add(self.records.starts, (name, now()))
        if not self.keeps_settings:
            fields["bootstrap"], fields["seeds"] = False, []

    def make_links(self):
        """Empty where the programs can't be told another address than the one they listen on."""
        answer = subprocess.run([os.path.join(self.bin, PROGRAMS["registrar"]), "--describe-settings"],
                                capture_output=True, text=True, check=True)
        if "/link/advertise" not in answer.stdout:
            return None
        links = Links()
        for name in self.registrars + self.gateways:
            self.serve_link(links, name)
        return links

    def inner_link(self, name):
        """The address at which a host listens, behind the proxy."""
        return "%s:%d" % (self.fields[name]["ip"], INNER_LINK)

    def serve_link(self, links, name):
        ip = self.fields[name]["ip"]
        links.serve(name, (ip, LINKS[0]), (ip, INNER_LINK), name.startswith("g"))

    def replace_registrar(self, name):
        """Removes a registrar for good; an empty one at another address takes its place."""
        self.processes[name].kill()
        index = self.registrars.index(name)
        self.release_host(name)
        successor = "r%d" % next(self.next_registrar)
        self.add_host(successor, "registrar", self.fields[name]["zone"])
        self.fields[successor]["bootstrap"] = False
        self.registrars[index] = successor
        self.operator_list.append((time.monotonic(), list(self.registrars)))
        if self.links:
            self.serve_link(self.links, successor)
        del self.controls[name]
        self.start(successor)
        self.controls[successor] = self.address(successor, CONTROL)
        for process in self.upstream_processes:
            process.send("set_controls", list(self.controls.values()))
        return successor

    def lose_disk(self, name):
        synced_files.lose_disk(self.fields[name]["data-dir"])

    def lose_power(self, name):
        """Of a registrar that was killed."""
        synced_files.lose_power(self.fields[name]["data-dir"])

    def address(self, name, port):
        return "%s:%d" % (self.fields[name]["ip"], port)

    def control_addresses(self, caller):
        """All registrars, in an order of the caller's own."""
        addresses = list(self.controls.values())
        random.Random(caller + str(time.monotonic() // 10)).shuffle(addresses)
        return addresses

    def add_all_upstreams(self):
        wanted = []
        for service in self.description.services:
            for index in range(service.groups * service.group_size):
                wanted.append((service.name, ("%s-%d" % (service.name, index // service.group_size),
                                              index % service.group_size, service.group_size)))
            wanted += [(service.name, None)] * service.count
        for _ in range(0, len(wanted), UPSTREAMS_PER_PROCESS):
            self.upstream_processes.append(UpstreamProcess(self.description, self.replace))
            self.upstream_processes[-1].send("set_controls", list(self.controls.values()))
        domains = itertools.cycle(self.description.domains)
        for service, group in wanted:
            self.add_upstream(service, next(domains), group)

    def add_upstream(self, service, domain, group=None):
        number = next(self.next_upstream)
        process = self.upstream_processes[number % len(self.upstream_processes)]
        upstream = Upstream("i-%d" % number, service, domain, group, process)
        name = "s-" + upstream.name
        ip = self.add_host(name, "rank", domain) if group else "127.0.0.1"
        address = process.add(upstream.name, ip, service, domain, group)
        with self.lock:
            self.upstreams.append(upstream)
            self.services[upstream.name] = service
        if group:
            self.fields[name].update(app=address, bootstrap=False)
            self.start(name)

    def replace(self, name):
        """Another upstream takes the place of one that has crashed, at another address."""
        time.sleep(DOWN_S)
        if self.is_ending:
            return
        agent = self.processes.get("s-" + name)
        if agent and agent.is_running():
            agent.kill()
        with self.lock:
            upstream = next(item for item in self.upstreams if item.name == name)
            self.upstreams.remove(upstream)
        self.add_upstream(upstream.service, upstream.domain, upstream.group)

    def collect_arrivals(self):
        """Takes over what the upstreams' processes have seen."""
        for process in self.upstream_processes:
            arrivals, faults = process.records()
            self.records.arrivals += arrivals
            self.records.upstream_faults += faults

    def status(self, name):
        port = READY if name.startswith("g") else CONTROL
        status, body = call(self.address(name, port), "GET", "/v1/status", limit_s=1.0)
        return json.loads(body) if status == 200 else None

    def knows_all(self, gateway):
        page = self.status(gateway)
        return page is not None and page["revision"] > 0 and \
            len(page["upstreams"]) >= len(self.upstreams)
