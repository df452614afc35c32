"""Stand-ins of a deployment's upstreams: ranks of lock-step groups and plain services, which can be put
into trouble."""

import itertools
import json
import socket
import threading
import time

from platform_standins import EVENTS, MortalUpstream, call
from soak.deployed.records import Arrival, Span
from soak.promises import now

HEARTBEAT_S = 1.2
DOWN_S = 2.0  # after a crash
SERVICES = {"assist-lm": 12, "vault-api": 6}  # slots
CRASHING = "/deadly-reset"
TROUBLES = ["fail", "reset", "refuse", "rest", "hang", "break", "freeze"]


class Replica(MortalUpstream):
    """An upstream whose trouble is one of `TROUBLES`, or none: answers 500, resets, refuses, refuses and
    asks for a backoff, never answers, breaks off inside its answer, or reads nothing until it goes on."""

    numbers = itertools.count()

    def __init__(self, deployment, service, zone, group=None):
        self.deployment = deployment
        self.records = deployment.records
        self.trouble = None
        self.span = None  # of the trouble
        self.thawed = threading.Event()
        self.thawed.set()
        self.group = group  # (name, rank, size)
        self.epoch = 1
        self.steps = 0
        self.backoff_s = 1.0
        self.work_s = (0.02, 0.06)  # between the events of a stream
        self.is_complete = threading.Event()  # so that it may announce itself
        super().__init__("i-%d" % next(self.numbers), service, [], self.begin_again)
        self.domain = zone
        self.breaks_answers = True
        self.is_complete.set()

    def set_trouble(self, trouble):
        if self.span:
            self.span.ended = now()
            self.span = None
        self.trouble = trouble
        (self.thawed.clear if trouble == "freeze" else self.thawed.set)()
        if trouble:
            self.span = self.records.add(self.records.upstream_faults, Span(trouble, self.name, now()))

    def begin_again(self, _):
        """A crashed upstream is replaced at another address."""
        self.records.add(self.records.upstream_faults, Span("crash", self.name, now() - 0.1, now() + DOWN_S))
        time.sleep(DOWN_S)
        self.deployment.replace(self)

    def serve(self, handler):
        self.connections.add(handler.connection)
        if handler.path.startswith("/-/"):
            return self.serve_own_host(handler)
        if self.has_ended:
            return self.reset_connections()
        self.thawed.wait()
        fields = handler.headers
        left = fields.get("Deadline-Ms")
        arrival = self.records.add(self.records.arrivals, Arrival(
            fields["Attempt-Id"], self.service, self.name, now(), int(left) / 1000 if left else None))
        try:
            return self.serve_request(handler, arrival)
        finally:
            arrival.ended_at = now()

    def serve_request(self, handler, arrival):
        if handler.headers["Expect-Instance"] != self.name:
            arrival.is_rejected = True
            return self.answer(handler, 421, arrival.request, b"")
        trouble = self.trouble
        if handler.path.endswith(CRASHING):
            arrival.is_broken_off = True
            time.sleep(0.02)
            return self.end("reset")
        if trouble in ("refuse", "rest"):
            return self.refuse(handler, arrival, trouble)
        arrival.is_broken_off = trouble in ("fail", "reset", "hang", "break")
        if trouble == "fail":
            time.sleep(0.01)
            return self.answer(handler, 500, arrival.request, b"failed")
        if trouble == "hang":
            time.sleep(30.0)
        if trouble in ("reset", "hang"):
            handler.close_connection = True
            return handler.connection.shutdown(socket.SHUT_RDWR)
        if self.group:
            return self.stream(handler, arrival, 3 if trouble == "break" else EVENTS)
        if trouble == "break":
            handler.close_connection = True
            return None
        time.sleep(0.015)
        return self.answer(handler, 200, arrival.request,
                           ("%s ran at %s" % (arrival.request, self.name)).encode())

    def refuse(self, handler, arrival, trouble):
        arrival.is_rejected = True
        fields = [("Not-Executed", "1")]
        if trouble == "rest":
            arrival.backoff_s = self.backoff_s
            fields.append(("Retry-After", "%g" % self.backoff_s))
        return self.answer(handler, 503, arrival.request, b"", fields)

    def stream(self, handler, arrival, events):
        first = int(handler.headers.get("Last-Event-Id", 0))
        handler.send_response(200)
        for name, value in (("Attempt-Id", arrival.request), ("Response-Stamp", "stamp-" + self.name),
                            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")):
            handler.send_header(name, value)
        handler.end_headers()
        for event in range(first + 1, EVENTS + 1):
            self.thawed.wait()
            if self.has_ended:
                arrival.is_broken_off = True
                return None
            data = b"id: %d\ndata: word-%d\n\n" % (event, event)
            if event > first + events:
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(data) // 2, data[:len(data) // 2]))
                handler.close_connection = True
                return None
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            self.steps += 1
            time.sleep(self.work_s[0] + (self.work_s[1] - self.work_s[0]) * (event % 4) / 3)
        handler.wfile.write(b"0\r\n\r\n")
        return None

    def serve_own_host(self, handler):
        """What a rank agent asks of its rank."""
        name, rank, size = self.group
        state = {"epoch": self.epoch, "step": self.steps, "counts": [self.steps] * 16,
                 "map": {"version": 0, "experts": [[0, 1]]}, "size": size,
                 "group": {"name": name, "epoch": self.epoch, "rank": rank, "state": "open"}}
        if handler.path.startswith("/-/report"):
            state["map"] = 0
        return self.answer(handler, 202 if handler.command == "POST" else 200, "",
                           json.dumps(state).encode())

    def announce(self, state="ready"):
        """One heartbeat, at the first registrar that takes it."""
        self.sequence += 1
        beat = {"service": self.service, "address": self.address, "zone": self.domain, "version": "v1",
                "slots": SERVICES[self.service], "state": state, "sequence": self.sequence,
                "cold-remaining-ms": 0}
        if self.group:
            beat["group"] = {"name": self.group[0], "epoch": self.epoch, "rank": self.group[1],
                             "state": "open"}
        return any(call(address, "PUT", "/-/instances/" + self.name, json.dumps(beat), limit_s=1.0)[0] == 200
                   for address in self.deployment.control_addresses(self.name))

    def announce_forever(self):
        self.is_complete.wait()
        while self.is_announcing:
            if self.thawed.is_set():
                self.announce()
            time.sleep(HEARTBEAT_S)
