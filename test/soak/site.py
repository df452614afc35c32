"""The processes of one soak: registries, gateways, and stand-ins of upstreams behind proxies."""

import json
import os
import shutil
import threading

from dewbeam_site import Site, free_port
from platform_standins import Upstream, call
from soak.proxy import Proxy

REGISTRIES = 3
GATEWAYS = 3
UPSTREAMS = 4
DRAIN_S = 8.0  # what a planned stop may take


def immortal_upstream(site, seed):
    upstream = Upstream("i-%d" % len(site.upstreams), "chat", site.registry_ports)
    return upstream, Proxy(int(upstream.address.rsplit(":", 1)[1]),
                           seed * 1000 + len(site.upstreams))


class SoakSite:
    """Starts everything; names processes r0.., g0.. and upstreams i-0..."""

    def __init__(self, bin_folder, work, seed, make_upstream=None):
        self.make_upstream = make_upstream or immortal_upstream
        self.work = work
        self.site = Site(bin_folder, work)
        self.links = ["127.0.0.1:%d" % free_port() for _ in range(REGISTRIES)]
        for index in range(REGISTRIES):
            self._add_registry(index)
        # Gateways reach the registries that they are told of through proxies.
        self.link_proxies = [Proxy(int(link.rsplit(":", 1)[1]), seed * 100 + place)
                             for place, link in enumerate(self.links)]
        for index in range(GATEWAYS):
            self._add_gateway(index)
        for process in self.site.processes.values():
            process.start()
        self.registry_ports = [self.port("r%d" % i) for i in range(REGISTRIES)]
        self.upstreams = []
        self.proxies = {}
        self.adding = threading.Lock()
        for index in range(UPSTREAMS):
            self.add_upstream(seed)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for upstream in self.upstreams:
            upstream.stop()
        self.site.kill_all()
        for proxy in [*self.link_proxies, *self.proxies.values()]:
            proxy.close()

    def _add_registry(self, index):
        name = "r%d" % index
        self.site.add(name, "dewbeam-registrar", {
            "deployment": self.site.deployment, "host": name, "failure_domain": "z1", "threads": 1,
            "http": {"listen": "127.0.0.1:%d" % free_port()},
            "link": {"listen": self.links[index]}, "registries": {"seeds": self.links},
            "data_folder": self.data_folder(name), "found": True,
            "stop": {"notice_ms": 0, "drain_ms": 2000}})

    def _add_gateway(self, index):
        name = "g%d" % index
        self.site.add(name, "dewbeam-gateway", {
            "deployment": self.site.deployment, "host": name, "failure_domain": "z1", "threads": 1,
            "http": {"listen": "127.0.0.1:%d" % free_port()},
            "readiness_listen": "127.0.0.1:%d" % free_port(),
            "link": {"listen": "127.0.0.1:%d" % free_port()},
            "registries": {"seeds": [proxy.address for proxy in self.link_proxies]},
            "stop": {"notice_ms": 500, "drain_ms": 6000}})

    def add_upstream(self, seed):
        """One more upstream, announced at the address of its proxy."""
        with self.adding:  # its name is their number
            upstream, proxy = self.make_upstream(self, seed)
            upstream.address = proxy.address
            self.proxies[upstream.name] = proxy
            self.upstreams.append(upstream)
            return upstream

    def process(self, name):
        return self.site.processes[name]

    def port(self, name):
        return self.process(name).http_port()

    def data_folder(self, name):
        return os.path.join(self.work, "data-" + name)

    def status(self, name):
        """The status page of a gateway or registry; None where it doesn't answer."""
        settings = self.process(name).settings
        listen = settings.get("readiness_listen", settings["http"]["listen"])
        status, body = call(int(listen.rsplit(":", 1)[1]), "GET", "/v1/status", limit_s=1.0)
        return json.loads(body) if status == 200 else None

    def is_ready(self, gateway):
        listen = self.process(gateway).settings["readiness_listen"]
        return call(int(listen.rsplit(":", 1)[1]), "GET", "/readyz", limit_s=1.0)[0] == 200

    def restart(self, name):
        """Starts a process that ended; a registry joins the log of the others."""
        process = self.process(name)
        if name.startswith("r"):
            process.settings["found"] = False
        process.start()

    def lose_disk(self, name):
        shutil.rmtree(self.data_folder(name), ignore_errors=True)

    def tear_log(self, name):
        """Adds bytes behind the end of the newest log file, as a write that was cut leaves them."""
        folder = self.data_folder(name)
        logs = [item for item in os.listdir(folder) if item.startswith("log-")]
        newest = max(logs, key=lambda item: int(item.split("-")[1]), default=None)
        if newest:
            with open(os.path.join(folder, newest), "ab") as file:
                file.write(b"\x17torn")
