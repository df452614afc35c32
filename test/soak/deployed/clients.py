"""The platform's balancer, clients that keep their connections, and the operator."""

import http.client
import json
import random
import threading
import time

from platform_standins import call, read_pieces
from soak.deployed.hosts import ZONES
from soak.deployed.records import Exchange
from soak.promises import now

#: share of the load, path, service, time limit (s)
KINDS = [(0.89, "/stream/", "assist-lm", 8.0), (0.076, "/once/", "vault-api", 1.0),
         (0.034, "/safe/", "vault-api", 1.0)]
CONNECT_LIMIT_S = 1.0
NOT_RUN = (408, 421, 429, 503)
PATIENCE_SHARE = 1 / 3  # of the time left, for a Retry-After


class Balancer(threading.Thread):
    """Asks each gateway once a second whether it is ready; two misses take it out."""

    def __init__(self, deployment, stop):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.stop = stop
        self.misses = {name: 0 for name in deployment.gateways}

    def run(self):
        while not self.stop.is_set():
            begun = now()
            for name in self.deployment.gateways:
                self.misses[name] = 0 if self.deployment.is_ready(name) else self.misses[name] + 1
            time.sleep(max(0.0, 1.0 - (now() - begun)))

    def pick(self, zone, draws, but=None):
        own = [name for name in self.deployment.gateways
               if self.deployment.fields[name]["zone"] == zone]
        ready = [name for name in own if self.misses[name] < 2]
        usable = ready if 2 * len(ready) >= len(own) else own
        if not ready:
            usable = [name for name, missed in self.misses.items() if missed < 2] or own
        others = [name for name in usable if name != but]
        return draws.choice(others or usable)


class Client(threading.Thread):
    """Sends requests at a rate of its own, and each failed one once more on a new connection."""

    def __init__(self, index, seed, deployment, balancer, stop):
        super().__init__(daemon=True)
        self.index = index
        self.random = random.Random(seed * 1009 + index)
        self.deployment, self.records, self.balancer, self.stop = \
            deployment, deployment.records, balancer, stop
        self.zone = ZONES[index % len(ZONES)]
        self.rate = deployment.size.per_second / deployment.size.clients
        self.connection, self.gateway, self.carried = None, None, 0
        self.sent = 0

    def run(self):
        due = now() + self.random.expovariate(self.rate)
        while not self.stop.is_set():
            time.sleep(max(0.0, min(0.2, due - now())))
            if now() >= due:
                due = now() + self.random.expovariate(self.rate)
                self.ask()
        self.drop()

    def ask(self):
        draw, kind = self.random.random(), KINDS[0]
        for kind in KINDS:
            draw -= kind[0]
            if draw < 0:
                break
        _, path, service, limit_s = kind
        deadline = now() + limit_s
        exchange, pause = self.send(path, service, limit_s)
        if exchange.is_whole and exchange.status < 500:
            return
        may_repeat = path != "/once/" or exchange.status in NOT_RUN or exchange.is_unsent
        left = deadline - now()
        if may_repeat and left > 0.1 and pause <= left * PATIENCE_SHARE:
            time.sleep(pause)
            self.drop()
            self.send(path, service, deadline - now(), but=exchange.gateway)

    def send(self, path, service, limit_s, but=None):
        """Gives the exchange, and what a Retry-After asks for."""
        self.sent += 1
        request = "c%d-%d" % (self.index, self.sent)
        exchange = Exchange(request, service, "", limit_s, self.carried > 0)
        head = {"Host": "vault.example", "Attempt-Id": request, "Authorization": "Bearer key-1",
                "Deadline-Ms": "%d" % (limit_s * 1000), "Model": "m", "Token-Count": "800,100",
                "Prompt-Prefix": "5c1e07a2:40,%x:700" % self.random.getrandbits(32)}
        pause = 0.0
        try:
            self.connect(but)
            exchange.gateway = self.gateway
            exchange.sent_at = now()
            self.connection.sock.settimeout(limit_s)
            exchange.is_unsent = True
            self.connection.request("POST", path + request, "{}", head)
            exchange.is_unsent = False
            exchange.sent_at = now()
            with self.records.lock:
                self.records.exchanges.append(exchange)
            pause = self.read(exchange)
        except TimeoutError:
            exchange.is_timeout = not exchange.is_unsent
            self.drop()
        except (OSError, http.client.HTTPException):
            self.drop()
        exchange.ended_at = now()
        return exchange, pause

    def connect(self, but):
        if self.connection is not None:
            return
        self.gateway = self.balancer.pick(self.zone, self.random, but)
        ip, port = self.deployment.front(self.gateway)
        self.connection = http.client.HTTPConnection(ip, port, timeout=CONNECT_LIMIT_S)
        self.connection.auto_open = 0
        try:
            self.connection.connect()
        except OSError:
            self.connection = None
            raise
        self.carried = 0

    def read(self, exchange):
        answer = self.connection.getresponse()
        exchange.status = answer.status
        ends = exchange.sent_at + exchange.limit_s
        for _ in read_pieces(answer):
            if now() > ends:
                raise TimeoutError
        answer.close()
        exchange.is_whole = True
        self.carried += 1
        if answer.will_close:
            self.drop()
        return float(answer.headers.get("Retry-After", 0.0))

    def drop(self):
        if self.connection is not None:
            self.connection.close()
        self.connection, self.carried = None, 0


class DeadlySender(threading.Thread):
    """Sends copies of one content that crashes its upstreams to gateways in any order."""

    def __init__(self, content, seed, deployment, balancer, copies):
        super().__init__(daemon=True)
        self.content, self.copies = content, copies
        self.random = random.Random(seed * 31 + content)
        self.deployment, self.records, self.balancer = deployment, deployment.records, balancer

    def run(self):
        for copy in range(self.copies):
            gateway = self.balancer.pick(self.random.choice(ZONES), self.random)
            request = "deadly-%d-%d" % (self.content, copy)
            exchange = Exchange(request, "assist-lm", gateway, 8.0, False, now())
            with self.records.lock:
                self.records.exchanges.append(exchange)
            status, _ = call("%s:%d" % self.deployment.front(gateway), "POST",
                             "/stream/%d/deadly-reset" % self.content, "{}", {
                                 "Host": "vault.example", "Attempt-Id": request, "Deadline-Ms": "8000",
                                 "Authorization": "Bearer key-1"}, limit_s=9.0)
            exchange.ended_at, exchange.status, exchange.is_whole = now(), status, status != 0
            time.sleep(self.random.uniform(0.1, 0.8))


class Operator:
    """Sends configurations; each is kept until a registrar has acknowledged it."""

    def __init__(self, deployment):
        self.deployment, self.records = deployment, deployment.records
        self.version = 0
        self.acknowledged = 0
        self.documents = {}

    def change(self, limit_s=20.0):
        self.version += 1
        self.documents[self.version] = self.deployment.configuration(self.version)
        body = json.dumps(self.documents[self.version])
        sent = now()
        while now() < sent + limit_s:
            for address in self.deployment.control_addresses("operator"):
                status, answer = call(address, "PUT", "/-/config", body, limit_s=1.0)
                if status == 200:
                    self.acknowledged = self.version
                    self.records.add(self.records.changes, (sent, now()))
                    return True
                if 400 <= status < 500 and status not in (408, 429):
                    self.records.fail("configurations", "version %d was refused: %d %s" %
                                      (self.version, status, answer[:200]))
                    return False
            time.sleep(0.05)
        return False

    def check_read_back(self, limit_s):
        """Behind the final fault the newest acknowledged version is read, as it was sent."""
        until, last = now() + limit_s, "no answer"
        while now() < until:
            for address in self.deployment.control_addresses("operator"):
                status, body = call(address, "GET", "/-/config", limit_s=1.0)
                if status == 200:
                    document = json.loads(body)
                    if document["version"] < self.acknowledged:
                        self.records.fail("final fault", "version %d was read after %d was acknowledged" %
                                          (document["version"], self.acknowledged))
                    elif document != self.documents[document["version"]]:
                        self.records.fail("final fault", "version %d was changed" % document["version"])
                    return
                last = "%d %s" % (status, body[:100])
            time.sleep(0.1)
        self.records.fail("final fault", "no configuration was read: %s" % last)
