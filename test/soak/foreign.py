"""Bytes of other writers, to registries and gateways, beside the other faults of a soak."""

import json
import random
import signal
import socket
import threading
import time

from soak.faults import GATEWAYS, REGISTRIES
from soak.promises import now

NESTING = 100_000
ENDS_OF_FAULTS = {-signal.SIGSEGV, -signal.SIGABRT, -signal.SIGBUS, -signal.SIGFPE, -signal.SIGILL}
VALUES = ["[" * NESTING + "]" * NESTING, '{"a":' * NESTING, '"' + 40 * "\u00e9" + '"', "1e999", "-1", "null", "[]",
          "18446744073709551615", '"' + 1000 * "x" + '"', '"\\ud800"', '"\\u0000"']
NAMES = [b"i-caf\xe9", b"\xff", b"i" * 300, b"i-\xed\xa0\x80", b"i-%ff"]


class ForeignWriters(threading.Thread):
    """Sends heartbeats with fields and names that no upstream sends, orders for such domains, and requests with
    such fields; watches for processes that end by a signal of their own."""

    def __init__(self, seed, site, promises, seconds):
        super().__init__(daemon=True)
        self.random = random.Random(seed * 6007)
        self.site = site
        self.promises = promises
        self.until = now() + seconds
        self.sent = 0
        self.ended = set()

    def run(self):
        while now() < self.until:
            write = self.random.choice([self.write_heartbeat, self.write_name, self.write_order, self.write_call,
                                        self.write_noise])
            name, data = write()
            self.send(name, data)
            self.note_ends()
            time.sleep(self.random.uniform(0.01, 0.1))

    def registry(self):
        return self.random.choice(REGISTRIES)

    def heartbeat(self, field=None):
        beat = {"service": "chat", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": 4,
                "state": "draining", "sequence": self.sent, "cold-remaining-ms": 0}
        if field:
            beat[field] = "@"
        return json.dumps(beat).replace('"@"', self.random.choice(VALUES)).encode()

    @staticmethod
    def request(head, body=b""):
        return head + b" HTTP/1.1\r\nHost: api.example\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def write_heartbeat(self):
        field = self.random.choice(["service", "address", "zone", "version", "slots", "state", "sequence", "group"])
        return self.registry(), self.request(b"PUT /-/instances/i-foreign", self.heartbeat(field))

    def write_name(self):
        return self.registry(), self.request(b"PUT /-/instances/" + self.random.choice(NAMES), self.heartbeat())

    def write_order(self):
        return self.registry(), self.request(b"POST /-/evacuations/" + self.random.choice(NAMES))

    def write_call(self):
        field = self.random.choice([b"Deadline-Ms", b"Token-Count", b"Prompt-Prefix", b"Last-Event-Id"])
        head = b"GET /safe/x HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: f\r\n%s: %s\r\n\r\n"
        return self.random.choice(GATEWAYS), head % (field, self.random.choice([b"\xff\xfe", b"9" * 30, b",,:,"]))

    def write_noise(self):
        return self.random.choice(REGISTRIES + GATEWAYS), self.random.randbytes(self.random.randrange(1, 400))

    def send(self, name, data):
        self.sent += 1
        try:
            with socket.create_connection(("127.0.0.1", self.site.port(name)), 0.5) as connection:
                connection.sendall(data)
                connection.recv(4096)
        except OSError:
            pass  # its process is down or stands still

    def note_ends(self):
        for name in REGISTRIES + GATEWAYS:
            child = self.site.process(name).child
            if child.poll() in ENDS_OF_FAULTS and child.pid not in self.ended:
                self.ended.add(child.pid)
                self.promises.fail("%s ended by itself with %d" % (name, child.returncode))

    def end(self):
        self.join()

    def check(self):
        self.note_ends()
        for name in REGISTRIES + GATEWAYS:
            if "event=handler_failed" in self.site.process(name).log():
                self.promises.fail("a handler of %s threw" % name)
            page = self.site.status(name)
            known = {item["name"] for item in page["upstreams"]} if page else set()
            if any(item.startswith("i-c") or len(item) > 256 for item in known):
                self.promises.fail("%s knows an upstream of another writer: %s" % (name, sorted(known)))
