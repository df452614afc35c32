"""Configurations that follow each other: routes that move, are split, added and dropped, time limits and
keys that change, in uneven steps. All stand beside the routes of the load, which stay."""

import copy
import random

from soak.deployed.description import PROBED_SERVICES

HOST = "probed.example"
STABLE, STABLE_KEY = "/stable/", "key-t0"
FIRST = ["/moved-0/", "/moved-1/", "/split-0/"]  # routes of the first version; with `STABLE`
HELD_PATHS = ["/held-0/", "/held-1/"]
LIMITS_MS = [400, 700, 1000, 1500]
MOST_ADDED = 6
REFUSED = "/refused-%d/"  # a route of a configuration that must not take effect


class Series:
    """Gives each version's document; knows every path and key that a version ever had."""

    def __init__(self, description, seed):
        self.description, self.random = description, random.Random(seed * 15485863)
        self.version = 0
        self.services = {STABLE: ["probed-a"], **{path: ["probed-a"] for path in FIRST + HELD_PATHS}}
        self.limits = {path: 1000 for path in HELD_PATHS}
        self.keys = {}  # beside the tenants' own: key -> tenant
        self.added, self.added_count, self.key_count = [], 0, 0
        self.paths, self.all_keys = set(self.services), {STABLE_KEY}

    def next(self):
        """The next version's document."""
        if self.version:
            for change in self.random.sample(self.changes(), self.random.choice([1, 1, 2, 3])):
                change()
        self.version += self.random.choice([1, 1, 2, 3])
        self.paths |= set(self.services)
        self.all_keys |= set(self.keys)
        return self.document(self.version)

    def changes(self):
        return [self.move, self.split, self.add, self.drop, self.change_limit, self.add_key, self.revoke]

    def move(self):
        path = self.random.choice([*FIRST[:2], *self.added])
        self.services[path] = [self.random.choice([name for name in PROBED_SERVICES
                                                   if [name] != self.services[path]])]

    def split(self):
        path = self.random.choice(FIRST[2:] + self.added)
        self.services[path] = self.random.sample(PROBED_SERVICES, self.random.choice([1, 2, 2, 3]))

    def add(self):
        self.added_count += 1
        self.added.append("/added-%d/" % self.added_count)
        self.services[self.added[-1]] = [self.random.choice(PROBED_SERVICES)]
        if len(self.added) > MOST_ADDED:
            self.drop()

    def drop(self):
        if len(self.added) > 1:
            del self.services[self.added.pop(self.random.randrange(len(self.added) - 1))]

    def change_limit(self):
        self.limits[self.random.choice(HELD_PATHS)] = self.random.choice(LIMITS_MS)

    def add_key(self):
        self.key_count += 1
        self.keys["key-added-%d" % self.key_count] = self.random.choice(self.description.tenants)

    def revoke(self):
        if self.keys:
            del self.keys[self.random.choice(sorted(self.keys))]

    def document(self, version):
        result = self.description.configuration(version)
        for path, services in self.services.items():
            result["routes"].append(route_of(path, services, self.limits.get(path, 2000)))
        for tenant in result["tenants"]:
            tenant["api-keys"] += sorted(key for key, name in self.keys.items() if name == tenant["name"])
        return result

    def invalid(self, document, version):
        """A kind of mistake, and a document with it that has a route of its own."""
        result = copy.deepcopy(document)
        result["version"] = version
        result["routes"].append(route_of(REFUSED % version, ["probed-a"], 1000))
        kind = self.random.choice(list(MISTAKES))
        MISTAKES[kind](result)
        return kind, result

    def other_content(self, document):
        """The same number with a route that the version doesn't have."""
        result = copy.deepcopy(document)
        result["routes"].append(route_of(REFUSED % result["version"], ["probed-a"], 1000))
        return result


def route_of(path, services, limit_ms):
    backends = {"service": services[0]} if len(services) == 1 else \
        {"backends": [{"service": name, "weight": 10 + 30 * index} for index, name in enumerate(services)]}
    return {"name": "r" + path.replace("/", ""), "host": HOST, "path-prefix": path, "kind": "safe",
            "timeout-ms": limit_ms, "target-latency-ms": 100, "priority": 2, "max-attempts": 2, **backends}


def add_route(**changes):
    """A mistake: one more route, sound but for `changes`."""
    def change(document):
        route = route_of("/mistake/", ["probed-a"], 1000)
        route.update(changes)
        document["routes"].insert(0, {name: value for name, value in route.items() if value is not None})
    return change


def repeat_route(document):
    document["routes"].insert(0, {**document["routes"][-1], "name": "twice"})


def share_key(document):
    document["tenants"][1]["api-keys"].append(document["tenants"][0]["api-keys"][0])


MISTAKES = {
    "unknown service": add_route(service="nobody"),
    "two routes at one place": repeat_route,
    "weights of 0": add_route(service=None, backends=[{"service": "probed-a", "weight": 0}]),
    "no time limit": add_route(**{"timeout-ms": 0}),
    "a key of two tenants": share_key,
}


class Meaning:
    """What a version's document says of probes."""

    def __init__(self, document):
        self.services = {
            route["path-prefix"]: {item["service"] for item in route["backends"] if item["weight"]}
            if route.get("backends") else {route["service"]}
            for route in document["routes"] if route["host"] == HOST}
        self.limits = {route["path-prefix"]: route["timeout-ms"] / 1000
                       for route in document["routes"] if route["host"] == HOST}
        self.keys = {key for tenant in document["tenants"] for key in tenant["api-keys"]}

    def allows(self, probe):
        """Whether a gateway that decides by this version may handle a probe as it was."""
        is_admitted = probe.path in self.services and probe.key in self.keys
        if probe.status == 200:
            return is_admitted and probe.service in self.services[probe.path]
        if probe.status in (401, 403):
            return not is_admitted and probe.key not in self.keys
        if probe.status == 404:
            return not is_admitted and probe.path not in self.services
        return True  # tells nothing of the configuration
