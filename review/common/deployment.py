"""Starts dewbeam's three programs as the deploy file does, on loopback addresses and free ports.

Each machine has a loopback address of its own, so that ports and settings are as on the platform. The
settings come from the role's template in `deploy/`, filled in by the rules of the users' page DEPLOY.md.
"""

import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.normpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
CONTROL, FRONT, READY, FIRST_INTERNAL = 8229, 8227, 8220, 7340
# The bounds of kilima-adops.
BOUNDS = {"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
          "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
          "rollback-slack-ms": 250, "max-skew-ms": 5000, "strict-revoke": False, "revoke-ms": 5000,
          "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 92, "recover-s": 12,
          "pass-ms": 120, "again-s": 0, "stall_ms": 1500, "require-fencing": True}
LINK_MBPS = {"front": 1000.0, "core": 170.0, "side": 20.0}


def render(template, fields):
    """Fills in a settings template by the rules of DEPLOY.md."""
    def look_up(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value, found = scope, True
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    found = False
                    break
            if found:
                return value
        return None

    def fill(text, scopes, key, is_last):
        out, place = [], 0
        for match in iter(lambda: re.compile(r"\{\{(.*?)\}\}").search(text, place), None):
            out.append(text[place:match.start()])
            word, place = match.group(1), match.end()
            if word[0] in "#^":
                end = text.index("{{/" + word[1:] + "}}", place)
                inner, place = text[place:end], end + len(word) + 4
                value = look_up(word[1:], scopes)
                if word[0] == "^":
                    out.append(fill(inner, scopes, key, is_last) if value is None or value is False else "")
                elif isinstance(value, dict) and value:
                    items = list(value.items())
                    out += [fill(inner, scopes + [item], name, name == items[-1][0]) for name, item in items]
                elif isinstance(value, list):
                    out += [fill(inner, scopes + [item], index, index + 1 == len(value))
                            for index, item in enumerate(value)]
                elif value is not None and value is not False:
                    out.append(fill(inner, scopes, key, is_last))
            elif word == "@":
                out.append(str(key))
            elif word == ",":
                out.append("" if is_last else ",")
            elif word.endswith("|json"):
                out.append(json.dumps(look_up(word[:-5], scopes)))
            else:
                value = look_up(word, scopes)
                out.append("" if value is None else value if isinstance(value, str) else json.dumps(value))
        return "".join(out) + text[place:]

    return fill(template, [fields], None, True)


class Machine:
    def __init__(self, deployment, name, kind, zone, ip):
        self.deployment, self.name, self.kind, self.zone, self.ip = deployment, name, kind, zone, ip
        self.data = os.path.join(deployment.work, "data-" + name)
        self.log_path = os.path.join(deployment.work, name + ".log")
        self.child = None
        self.app = None  # address of the replica on a `side` machine

    def fields(self, bootstrap):
        serves = {"front": "front", "core": "control", "side": "side"}[self.kind]
        listen = {"front": "%s:%d" % (self.ip, FRONT), "ready": "%s:%d" % (self.ip, READY)}
        if self.kind == "core":
            listen = {"control": "%s:%d" % (self.ip, CONTROL)}
        result = {"node-name": self.name, "role": self.kind, "machine-class": self.kind, "serves": [serves],
                  "ip": self.ip, "zone": self.zone, "region": "loopback",
                  "internal-ports": [FIRST_INTERNAL, FIRST_INTERNAL + 15],
                  "seeds": ["%s:%d" % (m.ip, CONTROL) for m in self.deployment.of("core")][:3],
                  "bootstrap": bootstrap, "in-tolerance": self.kind == "core", "listen": listen,
                  "zones": {zone: "loopback" for zone in self.deployment.zones},
                  "limits": {"link-mbps": LINK_MBPS[self.kind]}, "bounds": BOUNDS,
                  "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0}}
        if self.kind == "core":
            result["data-dir"] = self.data
        if self.app:
            result["app"] = self.app
        return result

    def start(self, bootstrap=True):
        role = {"front": "gateway", "core": "registrar", "side": "rank"}[self.kind]
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            entry = tomllib.load(file)["roles"][role]
        with open(os.path.join(ROOT, entry["template"])) as file:
            text = render(file.read(), self.fields(bootstrap))
        json.loads(text)
        path = os.path.join(self.deployment.work, self.name + ".json")
        with open(path, "w") as file:
            file.write(text)
        os.makedirs(self.data, exist_ok=True)
        command = [path if word == "/etc/dewbeam/node.toml" else word for word in entry["run"].split()]
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def kill(self):
        if self.is_running():
            self.child.kill()
        if self.child is not None:
            self.child.wait()

    def log(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()


class Deployment:
    """Registrars, gateways and rank agents of a small deployment."""

    def __init__(self, cores=3, fronts=2, zones=("kariakoo", "msasani", "ubungo")):
        signal.signal(signal.SIGTERM, end_by_signal)  # so that the processes end with the script
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.work = self.folder.name
        self.zones = list(zones)
        self.net = free_network(cores + fronts + 40)
        self.machines = []
        self.last_ip = 0
        for kind, count in (("core", cores), ("front", fronts)):
            for index in range(count):
                self.add(kind, self.zones[index % len(self.zones)])

    def add(self, kind, zone):
        name = "%s-%s-%d" % (kind, zone, len(self.of(kind)) + 1)
        self.machines.append(Machine(self, name, kind, zone, self.next_ip()))
        return self.machines[-1]

    def next_ip(self):
        self.last_ip += 1
        return "%s.%d" % (self.net, self.last_ip)

    def of(self, kind):
        return [machine for machine in self.machines if machine.kind == kind]

    def start(self):
        for machine in self.machines:
            machine.start()

    def stop(self):
        for machine in self.machines:
            machine.kill()
        self.folder.cleanup()


def end_by_signal(*_):
    raise SystemExit(2)


def free_network(count):
    """The first three numbers of a loopback network of which nothing uses the ports needed here."""
    for _ in range(100):
        net = "127.%d.%d" % (random.randrange(20, 250), random.randrange(1, 250))
        try:
            for host in range(1, count):
                for port in (CONTROL, FRONT, READY, FIRST_INTERNAL):
                    with socket.socket() as probe:
                        probe.bind(("%s.%d" % (net, host), port))
            return net
        except OSError:
            continue
    raise OSError("no loopback network is free")


def wait_for(condition, limit_s):
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False
