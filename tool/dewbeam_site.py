"""Starts a small loopback site of dewbeam's programs on free ports; for the demo, the sessions and
the benches. Standard library only.

    with Site(bin_folder, work_folder) as site:
        site.start_all()
        status, fields, body = site.call("e1", "POST", "/v1/completions", {"prompt": "hi"})
"""

import http.client
import json
import os
import secrets
import signal
import socket
import subprocess
import time

DOMAINS = ["d1", "d2", "d3"]
START_LIMIT_S = 30.0


FIRST_PORT, LAST_PORT, BLOCK = 12000, 32000, 200


def free_port():
    """A free port below the range from which the system takes ports for outgoing connections. Each
    run owns a block of ports while it holds the block's first one, so runs side by side don't clash."""
    while True:
        if free_port.next >= free_port.end:
            take_block()
        port = free_port.next
        free_port.next += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


free_port.next = free_port.end = 0
free_port.held = []


def take_block():
    for first in range(FIRST_PORT, LAST_PORT, BLOCK):
        owner = socket.socket()
        try:
            owner.bind(("127.0.0.1", first))
        except OSError:
            owner.close()
            continue
        free_port.held.append(owner)
        free_port.next, free_port.end = first + 1, first + BLOCK
        return
    raise OSError("no block of ports is free")


class Process:
    """One program with its settings file, log and addresses."""

    def __init__(self, site, name, program, settings):
        self.site = site
        self.name = name
        self.program = program
        self.settings = settings
        self.environment = None  # that of this process
        self.child = None

    def start(self):
        path = os.path.join(self.site.work, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings, file, indent=2)
        with open(os.path.join(self.site.work, self.name + ".log"), "a") as log:
            self.child = subprocess.Popen(
                [os.path.join(self.site.bin, self.program), "--settings", path],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=self.environment)

    def http_port(self):
        listen = self.settings.get("http", {}).get("listen") or self.settings["listen"]
        return int(listen.rsplit(":", 1)[1])

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def stands_still(self):
        """Whether it is stopped by a signal, which takes effect some time after it was sent."""
        with open("/proc/%d/stat" % self.child.pid) as file:
            return file.read().rsplit(")", 1)[1].split()[0] == "T"

    def send(self, signal_number):
        self.child.send_signal(signal_number)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def stop(self, limit_s=30.0):
        """A planned stop; gives the exit code."""
        if self.child is None:
            return 0
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
        return self.wait(limit_s)

    def wait(self, limit_s=30.0):
        """Waits for the end that was asked for; gives the exit code."""
        try:
            return self.child.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return -1

    def log(self):
        with open(os.path.join(self.site.work, self.name + ".log")) as file:
            return file.read()


class Site:
    """Three control hosts, three entries, agents before engines of two models and a service."""

    def __init__(self, bin_folder, work_folder, models=None, agents_per_model=1, engine=None,
                 common=None, tls=None, keys=None):
        self.bin = bin_folder
        self.work = work_folder
        self.processes = {}
        self.models = ["ad-copy", "assistant"] if models is None else models
        self.agents_per_model = agents_per_model
        self.engine = engine or {}
        self.common = {"stop": {"notice_ms": 300, "drain_ms": 20000}, **(common or {})}
        self.tls = tls
        self.keys = keys
        # Programs of sites that run side by side refuse each other, whatever port one was given.
        self.deployment = "site-" + secrets.token_hex(8)
        self.control_links = ["127.0.0.1:%d" % free_port() for _ in DOMAINS]
        self.entry_links = ["127.0.0.1:%d" % free_port() for _ in DOMAINS]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill_all()

    def _settings(self, host, domain, link=None):
        result = {"deployment": self.deployment, "host": host, "failure_domain": domain,
                  **json.loads(json.dumps(self.common)),
                  "http": {"listen": "127.0.0.1:%d" % free_port()}}
        result["link"] = {"listen": link or "127.0.0.1:%d" % free_port()}
        if self.keys:
            result["link"]["key_file"] = self.keys
        return result

    def add(self, name, program, settings):
        if program == "dewbeam-gateway":  # a few requests earn no retry
            settings = {"retries": {"initial": 10}, **settings}
        self.processes[name] = Process(self, name, program, settings)
        return self.processes[name]

    def add_control(self, index):
        settings = self._settings("c%d" % (index + 1), DOMAINS[index], self.control_links[index])
        if self.tls:
            settings["http"].update(self.tls)
        settings["controls"] = self.control_links
        settings["entries"] = self.entry_links
        settings["replica"] = index + 1
        settings["data_folder"] = os.path.join(self.work, "data-c%d" % (index + 1))
        return self.add(settings["host"], "dewbeam-control", settings)

    def add_entry(self, index, host=None):
        """The entry of a domain, or one more there under the name `host`."""
        settings = self._settings(host or "e%d" % (index + 1), DOMAINS[index],
                                  None if host else self.entry_links[index])
        if self.tls:
            settings["http"].update(self.tls)
        settings["controls"] = self.control_links
        settings["entries"] = self.entry_links
        return self.add(settings["host"], "dewbeam-entry", settings)

    def add_upstream(self, name, domain, models=(), labels="", slots=8, **engine):
        """An engine (or, without models, a plain service) and the agent before it."""
        listen = "127.0.0.1:%d" % free_port()
        self.add(name + "-engine", "dewbeam-fake-engine",
                 {"host": name + "-engine", "failure_domain": domain, "listen": listen,
                  "models": list(models), "slots": slots, **self.engine, **engine,
                  "stop": {"notice_ms": 0, "drain_ms": 1000}})
        settings = self._settings(name, domain)
        settings["controls"] = self.control_links
        settings["entries"] = self.entry_links
        settings["upstream"] = {"name": name, "address": listen, "labels": labels,
                                "engine": name + "-engine"}
        return self.add(name, "dewbeam-agent", settings)

    def add_standard(self):
        for index in range(len(DOMAINS)):
            self.add_control(index)
            self.add_entry(index)
        for model in self.models:
            for index, domain in enumerate(DOMAINS):
                for copy in range(self.agents_per_model):
                    self.add_upstream("%s-%d%s" % (model, index + 1, "abcdefgh"[copy]), domain,
                                      [model], "pool=" + model)
        for index, domain in enumerate(DOMAINS):
            self.add_upstream("bay-%d" % (index + 1), domain, [], "service=bay")

    def start_all(self):
        if not self.processes:
            self.add_standard()
        for process in self.processes.values():
            process.start()
        self.wait_ready()

    def wait_ready(self, names=None):
        for name in names or self.processes:
            process = self.processes[name]
            path = "/load" if process.program == "dewbeam-fake-engine" else "/readyz"
            self.wait_for(lambda n=name, p=path: self.try_call(n, "GET", p)[0] == 200,
                          "%s to be ready" % name)

    def wait_for(self, condition, what, limit_s=START_LIMIT_S):
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError("waited in vain for " + what)
            time.sleep(0.02)

    def wait_for_upstreams(self, entry, count):
        def is_there():
            status, _, body = self.try_call(entry, "GET", "/v1/status")
            if status != 200:
                return False
            agents = [m for m in json.loads(body)["members"]
                      if m["role"] == "agent" and not m["dead"]]
            return len(agents) >= count
        self.wait_for(is_there, "%d upstreams at %s" % (count, entry))

    def upstream_count(self):
        return sum(p.program == "dewbeam-agent" for p in self.processes.values())

    def connection(self, name, limit_s=30.0):
        port = self.processes[name].http_port()
        if self.tls and self.processes[name].program in ("dewbeam-entry", "dewbeam-control"):
            import ssl
            context = ssl.create_default_context(cafile=self.tls["certificate_file"])
            context.check_hostname = False
            return http.client.HTTPSConnection("127.0.0.1", port, timeout=limit_s, context=context)
        return http.client.HTTPConnection("127.0.0.1", port, timeout=limit_s)

    def call(self, name, method, path, body=None, fields=None, limit_s=30.0):
        """One request; gives status, header fields and body text."""
        connection = self.connection(name, limit_s)
        try:
            data = None
            head = dict(fields or {})
            if body is not None:
                data = body if isinstance(body, (str, bytes)) else json.dumps(body)
                head.setdefault("Content-Type", "application/json")
            connection.request(method, path, data, head)
            answer = connection.getresponse()
            text = answer.read().decode()
            return answer.status, dict(answer.getheaders()), text
        finally:
            connection.close()

    def try_call(self, name, method, path, body=None, fields=None, limit_s=2.0):
        try:
            return self.call(name, method, path, body, fields, limit_s)
        except OSError as error:
            return 0, {}, str(error)
        except http.client.HTTPException as error:
            return 0, {}, str(error)

    def number(self, control="c1"):
        return json.loads(self.call(control, "GET", "/v1/configuration")[2])["number"]

    def apply(self, patch, change_id, control="c1", base=None):
        """One change; gives status and answer."""
        base = self.number(control) if base is None else base
        status, _, body = self.call(control, "POST", "/v1/changes",
                                    {"id": change_id, "base": base, "patch": patch})
        return status, json.loads(body)

    def wait_for_number(self, number, names=None):
        names = names or [n for n, p in self.processes.items()
                          if p.program in ("dewbeam-entry", "dewbeam-agent") and p.is_running()]
        for name in names:
            self.wait_for(lambda n=name: self.configuration_number(n) >= number,
                          "configuration %d at %s" % (number, name))

    def configuration_number(self, name):
        status, _, body = self.try_call(name, "GET", "/v1/status")
        return json.loads(body)["configuration"]["number"] if status == 200 else -1

    def stop_all(self):
        """A planned stop of everything: entries first, then agents, control and engines."""
        order = ["dewbeam-entry", "dewbeam-agent", "dewbeam-control", "dewbeam-fake-engine"]
        codes = {}
        for program in order:
            group = [p for p in self.processes.values() if p.program == program]
            for process in group:
                if process.is_running():
                    process.send(signal.SIGTERM)
            for process in group:
                codes[process.name] = process.wait()
        return codes

    def kill_all(self):
        for process in self.processes.values():
            if process.is_running():
                process.kill()


STANDARD_CONFIGURATION = {
    "workspaces": {
        "arusha": {"labels": {"tier": "gold"}, "weight": 2},
        "houston": {"labels": {"tier": "silver"}, "weight": 1},
    },
    "selectors": {
        "briefs": {"when": "model=ad-copy", "upstreams": "pool=ad-copy", "class": "ordinary",
                   "time_limit_ms": 20000},
        "replies": {"when": "model=assistant", "upstreams": "pool=assistant",
                    "class": "ordinary", "time_limit_ms": 20000},
        "unlocks": {"when": "service=bay", "upstreams": "service=bay", "class": "urgent",
                    "idempotent": False, "time_limit_ms": 5000},
    },
}
