"""Callers and the operator of a soak; each keeps its connection open until it breaks."""

import http.client
import json
import random
import threading
import time

from platform_standins import call, configuration, read_pieces
from soak.promises import now

PATHS = {"stream": "/stream/x", "once": "/once/x", "safe": "/safe/x"}
TIME_LIMIT_S = 4.0
# Keys of the newest revisions stay valid, so that a caller needs not know which one is in force.
KEPT_KEYS = 50


class Caller(threading.Thread):
    """Sends one request after the other to one gateway, on one connection."""

    def __init__(self, index, seed, site, promises, stop):
        super().__init__(daemon=True)
        self.name = "caller-%d" % index
        self.gateway = "g%d" % (index % 3)
        self.random = random.Random(seed * 1000 + index)
        self.site = site
        self.promises = promises
        self.stop = stop
        self.connection = None
        self.sent = 0
        self.latest = []  # (time, kind, status)

    def run(self):
        while not self.stop.is_set():
            self.send_one()
            time.sleep(self.random.uniform(0.0, 0.05))

    def send_one(self):
        kind = self.random.choice(list(PATHS))
        self.sent += 1
        request = "%s-%s-%d" % (self.name, self.gateway, self.sent)
        head = {"Host": "api.example", "Attempt-Id": request, "Authorization": "Bearer key-1",
                "Deadline-Ms": "%d" % (TIME_LIMIT_S * 1000)}
        status, body, part = 0, "", b""
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(
                    "127.0.0.1", self.site.port(self.gateway), timeout=TIME_LIMIT_S + 2.0)
            self.connection.request("POST", PATHS[kind], "{}", head)
            answer = self.connection.getresponse()
            for piece in read_pieces(answer):
                part += piece
            answer.close()
            status, body = answer.status, part.decode()
            if answer.will_close:
                self.drop()
        except (OSError, http.client.HTTPException):
            self.drop()
            status = 0
        if status == 0 and kind == "stream":
            self.promises.note_part(request, part.decode(errors="replace"))
        self.promises.note_answer(request, kind, status, body)
        self.latest.append((now(), kind, status))

    def drop(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class Operator(threading.Thread):
    """Sends growing revisions, reads them back, and watches what gateways have in force."""

    def __init__(self, seed, site, promises, stop):
        super().__init__(daemon=True)
        self.random = random.Random(seed * 7919)
        self.site = site
        self.promises = promises
        self.stop = stop
        self.version = 1

    def run(self):
        while not self.stop.is_set():
            self.change()
            self.read()
            self.watch()
            time.sleep(self.random.uniform(0.1, 0.4))

    def send(self, version):
        """One try at one registry; whether it was acknowledged."""
        keys = ["key-1"] + ["key-%d" % v for v in range(max(2, version - KEPT_KEYS), version + 1)]
        document = self.promises.sent.setdefault(
            version, configuration(version, tenants=[{"name": "t1", "api-keys": keys}]))
        port = self.random.choice(self.site.registry_ports)
        status, body = call(port, "PUT", "/-/config", json.dumps(document), limit_s=2.0)
        if status == 200:
            with self.promises.lock:
                self.promises.acknowledged = max(self.promises.acknowledged, version)
        elif 400 <= status < 500:
            self.promises.fail("a proper revision %d was refused: %d %s" % (version, status, body))
        return status == 200

    def change(self):
        # A revision without a clear answer may or may not be in force; the next is higher.
        self.version += self.random.randint(1, 3)
        self.send(self.version)

    def read(self):
        known = self.promises.acknowledged
        status, body = call(self.random.choice(self.site.registry_ports), "GET", "/-/config",
                            limit_s=2.0)
        if status == 200:
            self.promises.note_read(known, body)

    def watch(self):
        for gateway in ("g0", "g1", "g2"):
            process = self.site.process(gateway).child.pid
            page = self.site.status(gateway)
            if page is not None and self.site.process(gateway).child.pid == process:
                self.promises.note_revision(gateway, process, page["revision"])
