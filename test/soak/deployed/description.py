"""The description of a deployment: its sizes, bounds, services, routes and tenants."""

import dataclasses
import itertools
import json
import os

FOLDER = os.path.join(os.path.dirname(os.path.abspath(__file__)), "deployments")
NAMES = sorted(name[:-len(".json")] for name in os.listdir(FOLDER) if name.endswith(".json"))


PROBED_SERVICES = ["probed-a", "probed-b", "probed-c"]  # of the routes that configurations change


@dataclasses.dataclass(frozen=True)
class Service:
    """Upstreams of one kind: lock-step groups of ranks that stream, or `count` plain ones."""
    name: str
    slots: int
    most_connections: int
    groups: int = 0
    group_size: int = 0
    count: int = 0
    event_s: tuple = (0.02, 0.06)  # shortest and longest pause between two events of a stream
    work_s: float = 0.015
    cold_start_s: float = 0.0
    cold_per_second: float = 0.0


@dataclasses.dataclass(frozen=True)
class Route:
    """One kind of request."""
    name: str
    service: str
    kind: str
    per_second: float
    timeout_ms: int  # of the route
    limit_ms: int  # of a client's patience, which it hands on
    target_ms: int
    max_attempts: int
    priority: int

    @property
    def path(self):
        return "/%s/" % self.name

    @property
    def is_stream(self):
        return self.kind == "streaming"

    @property
    def may_repeat(self):
        return self.kind != "unsafe"

    @property
    def limit_s(self):
        """When a client has no answer any more."""
        return self.limit_ms / 1000


class Description:
    def __init__(self, source, scale=1.0):
        """`scale`: of the load alone."""
        self.domains = list(source["domains"])
        self.counts = source["domains"]
        self.region = source["region"]
        self.losses = source["losses"]
        self.catch_up_s = source["catch_up_s"]
        self.heartbeat_s = source["heartbeat_s"]
        self.link_mbps = source["link_mbps"]
        self.bounds = source["bounds"]
        self.services = [Service(**item) for item in source["services"]]
        self.routes = [Route(**item) for item in source["routes"]]
        self.idle_routes = source["idle_routes"]
        self.changes_routes = source.get("changes_routes", False)
        if self.changes_routes:
            self.services += [Service(name, 64, 200, count=2, work_s=0.0) for name in PROBED_SERVICES]
        self.tenants = ["t%d" % index for index in range(source["tenants"])]
        self.clients = source["clients"]
        self.per_second = scale * sum(route.per_second for route in self.routes)

    def seconds(self, bound):
        """A bound that is given in milliseconds or in seconds."""
        return self.bounds[bound] / 1000 if bound.endswith("-ms") else float(self.bounds[bound])

    def hosts(self, role):
        """The domains of a role's hosts, in the order of their names: each domain in turn."""
        columns = [[name] * self.counts[name][role] for name in self.domains]
        return [name for row in itertools.zip_longest(*columns) for name in row if name]

    def service(self, name):
        return next(item for item in self.services if item.name == name)

    def route(self, name):
        return next(item for item in self.routes if item.name == name)

    def key(self, tenant):
        return "key-" + tenant

    def configuration(self, version):
        routes = [{"name": route.name, "host": "api.example", "path-prefix": route.path,
                   "kind": route.kind, "service": route.service, "timeout-ms": route.timeout_ms,
                   "target-latency-ms": route.target_ms, "max-attempts": route.max_attempts,
                   "priority": route.priority,
                   **({"stream-resume": True, "session-affinity": True, "gap-aim-ms": 120}
                      if route.is_stream else {})} for route in self.routes]
        plain = next(route for route in self.routes if not route.is_stream)
        spare = [{"name": name, "host": "api.example", "path-prefix": "/%s/" % name, "kind": "safe",
                  "service": plain.service, "timeout-ms": plain.timeout_ms, "max-attempts": 1,
                  "target-latency-ms": plain.target_ms, "priority": plain.priority}
                 for name in ["changed-%d" % version, *("idle-%d" % index
                                                        for index in range(self.idle_routes))]]
        services = [{"name": item.name, "health-path": "/healthz",
                     "max-connections": item.most_connections,
                     **({"cold-start-s": item.cold_start_s, "cold-per-s": item.cold_per_second}
                        if item.cold_per_second else {})} for item in self.services]
        return {"version": version, "routes": routes + spare, "services": services,
                "tenants": [{"name": name, "api-keys": [self.key(name)]} for name in self.tenants]}


def load(name_or_path, scale=1.0):
    path = name_or_path if name_or_path.endswith(".json") else \
        os.path.join(FOLDER, name_or_path + ".json")
    with open(path) as file:
        return Description(json.load(file), scale)
