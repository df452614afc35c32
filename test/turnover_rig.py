"""A small deployment whose registrars are replaced while some process is away."""

import json
import os
import signal
import tempfile
import time

from dewbeam_site import Site, free_port
from platform_standins import Upstream, call, configuration, process_settings
from soak.deployed.link_proxy import Links

CONTACT_S = 3.0  # within which a process that is back must be in touch
CATCH_UP_S = 20.0
DROPPED_S = 8.0
BEFORE_S = 1.5  # for which a process has watched the registrars


def local(port):
    return "127.0.0.1:%d" % port


class Deployment:
    """Registrars, gateways and ranks whose links lead through proxies, so that they can be cut off."""

    def __init__(self, test, bin_folder, registrars=3):
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        self.site = Site(bin_folder, folder.name)
        test.addCleanup(self.site.kill_all)
        self.links = Links()
        test.addCleanup(self.links.end)
        self.public, self.registrars, self.upstreams, self.services = {}, [], [], ["chat", "new"]
        self.next_registrar, self.version, self.requests, self.away = 0, 0, 0, None
        for _ in range(registrars):
            self.add_registrar(is_first=True)
        self.first_seeds = [self.public[name] for name in self.registrars]
        for name in self.registrars:
            self.process(name).settings["registries"]["seeds"] = self.first_seeds
            self.process(name).start()
        self.change()
        for service in self.services:
            upstream = Upstream("i-" + service, service, self.control_ports())
            test.addCleanup(upstream.stop)
            self.upstreams.append(upstream)

    def process(self, name):
        return self.site.processes[name]

    def control_ports(self):
        """Those of the newest registrars first: an older one may be away."""
        return [self.process(name).http_port() for name in reversed(self.registrars)]

    def add(self, name, program, seeds, **settings):
        inner, public = free_port(), free_port()
        self.public[name] = local(public)
        self.links.serve(name, ("127.0.0.1", public), ("127.0.0.1", inner), "registrar" not in program)
        self.site.add(name, program, {
            **process_settings(self.site, name, seeds), **settings,
            "link": {"listen": local(inner), "advertise": local(public)}})

    def add_registrar(self, is_first=False):
        name = "r%d" % self.next_registrar
        self.next_registrar += 1
        self.add(name, "dewbeam-registrar", [self.public[other] for other in self.registrars],
                 data_folder=os.path.join(self.site.work, "data-" + name), found=is_first,
                 stop={"notice_ms": 0, "drain_ms": 2000})
        self.registrars.append(name)
        return name

    def add_gateway(self, name, seeds=None):
        self.add(name, "dewbeam-gateway", seeds or self.first_seeds, readiness_listen=local(free_port()),
                 stop={"notice_ms": 300, "drain_ms": 4000})
        self.process(name).start()
        return name

    def add_rank(self, name):
        self.add(name, "dewbeam-rank", self.first_seeds, engine={"address": local(free_port())},
                 stop={"notice_ms": 0, "drain_ms": 1000})
        del self.process(name).settings["http"]
        self.process(name).start()
        return name

    def status(self, name):
        settings = self.process(name).settings
        listen = settings.get("readiness_listen", settings.get("http", {}).get("listen"))
        status, body = call(int(listen.rsplit(":", 1)[1]), "GET", "/v1/status", limit_s=1.0)
        return json.loads(body) if status == 200 else {}

    def change(self):
        """Moves the routes to the other service; gives the service in force once it is acknowledged."""
        self.version += 1
        service = self.services[self.version % 2]
        document = configuration(self.version)
        document["services"] = [{**document["services"][0], "name": name} for name in self.services]
        document["routes"] = [{**route, "service": service} for route in document["routes"]]
        self.site.wait_for(lambda: any(
            call(port, "PUT", "/-/config", json.dumps(document))[0] == 200
            for port in self.control_ports()), "version %d" % self.version)
        return service

    def replace(self, name):
        """Removes a registrar for good; an empty one at another address takes its place."""
        self.process(name).kill()
        self.registrars.remove(name)
        successor = self.add_registrar()
        self.process(successor).start()
        self.wait_caught_up(successor)
        for upstream in self.upstreams:
            upstream.registries = self.control_ports()
        return successor

    def wait_caught_up(self, name):
        """Until no registrar that is gone or away has a vote, so that another one may be lost."""
        def is_caught_up():
            page = self.status(name)
            voters = {item["address"] for item in page.get("registries", []) if item["votes"]}
            living = {"tcp://" + self.public[other] for other in self.registrars if other != self.away}
            return page.get("caught_up") and len(voters) >= 3 and voters <= living
        self.site.wait_for(is_caught_up, name + " to catch up", CATCH_UP_S)

    def replace_all(self, but=()):
        for name in [name for name in self.registrars if name not in but]:
            self.replace(name)

    def cut(self, name, kind):
        """From all registrars, those that come later, too."""
        others = ["r%d" % index for index in range(20) if "r%d" % index != name]
        self.links.cut([pair for other in others for pair in ((name, other), (other, name))], kind)

    def ask(self, gateway):
        """The service that handles a request, or the status."""
        self.requests += 1
        identity = "req-%d" % self.requests
        status, _ = call(self.process(gateway).http_port(), "POST", "/safe/x", "{}", {
            "Host": "api.example", "Attempt-Id": identity, "Deadline-Ms": "2000",
            "Authorization": "Bearer key-1"})
        ran = [upstream.service for upstream in self.upstreams
               if identity in (request for request, _ in upstream.runs)]
        return ran[0] if ran else status

    def serve_by_first_revision(self, name):
        self.site.wait_for(lambda: self.ask(name) in self.services, name + " to serve")
        time.sleep(BEFORE_S)

    def leave(self, name, kind):
        """Takes a process away: "frozen", "cut off", "dropped" (cut off, and packets that begin connections
        to it are dropped) or "killed". Gives what brings it back, killed ones with their old seeds."""
        process = self.process(name)
        if kind == "frozen":
            process.send(signal.SIGSTOP)
            return lambda: process.send(signal.SIGCONT)
        if kind == "killed":
            process.kill()
            return process.start
        self.cut(name, "silent")
        if kind == "dropped":
            self.links.drop_new([name], True)

        def join():
            if kind == "dropped":
                self.links.drop_new([name], False)
            self.cut(name, None)
        return join

    def miss_replacement(self, name, kind):
        """All other registrars are replaced while a process is away; gives the service of the newest
        revision. The process has just come back."""
        self.away, come_back = name, self.leave(name, kind)
        self.replace_all(but=[name])
        service = self.change()
        come_back()
        return service
