"""What clients and upstreams saw, and what was done to the deployment."""

import dataclasses
import threading


@dataclasses.dataclass
class Arrival:
    """A request at an upstream."""
    request: str
    service: str
    upstream: str
    at: float
    left_s: float | None  # the time that it was handed
    is_rejected: bool = False
    backoff_s: float = 0.0  # asked for in the refusal
    is_broken_off: bool = False  # the upstream's own fault ended it
    ended_at: float = float("inf")


@dataclasses.dataclass
class Exchange:
    """A client's attempt. It had no answer at all if `status` is 0."""
    request: str
    route: str
    gateway: str
    limit_s: float
    is_kept: bool  # on a connection that had carried another request
    sent_at: float = 0.0  # its last byte
    ended_at: float = float("inf")
    status: int = 0
    is_whole: bool = False
    is_timeout: bool = False  # the client gave up
    is_unsent: bool = False  # the connection failed before the last byte was written


@dataclasses.dataclass
class Span:
    """Something that was done to a host, or to all if `host` is empty."""
    kind: str
    host: str
    begun: float
    ended: float = float("inf")


@dataclasses.dataclass
class Version:
    """A valid configuration, first sent under its number."""
    document: dict
    sent_at: float
    acknowledged_at: float = float("inf")
    registrar: str = ""  # that acknowledged it first


@dataclasses.dataclass
class Probe:
    """A request whose handling tells which versions the gateway can have decided by."""
    gateway: str
    path: str
    key: str
    sent_at: float
    ended_at: float = float("inf")
    status: int = 0  # 0: no answer
    service: str = ""  # that ran it


@dataclasses.dataclass
class Read:
    """A configuration that a registrar gave."""
    registrar: str
    sent_at: float
    document: dict


class Records:
    def __init__(self, description):
        self.description = description
        self.lock = threading.Lock()
        self.arrivals = []
        self.exchanges = []
        self.faults = []  # spans of unplanned disturbances of hosts
        self.upstream_faults = []  # the same, of upstreams
        self.stops = []  # (gateway, time of the stop signal)
        self.reloads = []  # (gateway, time)
        self.changes = []  # (sent at, acknowledged at) of configurations
        self.versions = {}  # by number
        self.probes = []
        self.reads = []
        self.starts = []  # (gateway, time)
        self.is_slowed = False  # all processes, at some time
        self.broken = []

    def add(self, items, item):
        with self.lock:
            items.append(item)
        return item

    def service_of(self, exchange):
        return self.description.route(exchange.route).service

    def fail(self, part, what):
        self.add(self.broken, "%s: %s" % (part, what))
