"""Clients that keep their connections, behind the platform's balancer, in processes of their own. Requests
are sent when they are due, whether or not earlier ones have been answered."""

import collections
import http.client
import queue
import random
import threading
import time

from platform_standins import DEADLY_PART, call, read_pieces
from soak.deployed.processes import CONTEXT, end
from soak.deployed.records import Exchange
from soak.promises import now

CONNECT_LIMIT_S = 1.0
NOT_RUN = (408, 421, 429, 503)
PATIENCE_SHARE = 1 / 3  # of the time left, for a Retry-After
MOST_CLIENTS = 4  # times those of the description, where they wait for answers
READY_PATH = "/-/ready"
GIVE_UP_S = (0.05, 0.4)
ABUSES = 3  # requests that an impatient client sends at once


class View:
    """What clients are told of a deployment."""

    def __init__(self, description, gateways, seed):
        self.description = description
        self.gateways = gateways  # name -> (domain, (ip, port) for clients, address of its readiness)
        self.seed = seed


class Balancer(threading.Thread):
    """Asks each gateway once a second whether it is ready; two misses take it out."""

    def __init__(self, view):
        super().__init__(daemon=True)
        self.view = view
        self.misses = {name: 0 for name in view.gateways}

    def run(self):
        while True:
            begun = now()
            for name, (_, _, ready) in self.view.gateways.items():
                is_ready = call(ready, "GET", READY_PATH, limit_s=1.0)[0] == 200
                self.misses[name] = 0 if is_ready else self.misses[name] + 1
            time.sleep(max(0.0, 1.0 - (now() - begun)))

    def pick(self, zone, draws, but=None):
        own = [name for name, (domain, _, _) in self.view.gateways.items() if domain == zone]
        ready = [name for name in own if self.misses[name] < 2]
        usable = ready if 2 * len(ready) >= len(own) else own
        if not ready:
            usable = [name for name, missed in self.misses.items() if missed < 2] or own
        others = [name for name in usable if name != but]
        return draws.choice(others or usable)


class Client(threading.Thread):
    """Sends the requests that it is given, and each failed one once more on a new connection."""

    def __init__(self, name, worker):
        super().__init__(daemon=True)
        self.client = name
        self.worker, self.description = worker, worker.view.description
        self.random = random.Random("%d-%s" % (worker.view.seed, name))
        self.zone = self.random.choice(self.description.domains)
        self.key = self.description.key(self.random.choice(self.description.tenants))
        self.connection, self.gateway, self.carried = None, None, 0
        self.sent = 0
        self.due = queue.SimpleQueue()

    def run(self):
        while (route := self.due.get()) is not None:
            self.ask(route)
            self.worker.idle.append(self)
        self.drop()

    def ask(self, route):
        habit = self.worker.habit.value
        deadline = now() + route.limit_s
        exchange, pause = self.send(route, route.limit_s, gives_up=habit == HABITS["give up"])
        if exchange.is_whole and exchange.status < 500:
            return
        may_repeat = route.may_repeat or exchange.status in NOT_RUN or exchange.is_unsent
        for _ in range(ABUSES if habit == HABITS["abuse"] else 1):
            left = deadline - now()
            is_patient = habit != HABITS["abuse"] and pause > left * PATIENCE_SHARE
            if not may_repeat or left <= 0.1 or is_patient:
                return
            if habit != HABITS["abuse"]:
                time.sleep(pause)
            self.drop()
            self.send(route, deadline - now(), but=exchange.gateway)

    def send(self, route, limit_s, but=None, gives_up=False):
        """Gives the exchange, and what a Retry-After asks for."""
        self.sent += 1
        request = "%s-%d" % (self.client, self.sent)
        exchange = Exchange(request, route.name, "", limit_s, self.carried > 0)
        head = {"Host": "api.example", "Attempt-Id": request, "Authorization": "Bearer " + self.key,
                "Deadline-Ms": "%d" % (limit_s * 1000), "Model": "m", "Token-Count": "800,100",
                "Prompt-Prefix": "5c1e07a2:40,%x:700" % self.random.getrandbits(32)}
        pause = 0.0
        try:
            self.connect(but)
            exchange.gateway = self.gateway
            exchange.sent_at = now()
            self.connection.sock.settimeout(self.random.uniform(*GIVE_UP_S) if gives_up else limit_s)
            exchange.is_unsent = True
            self.connection.request("POST", route.path + request, "{}", head)
            exchange.is_unsent = False
            exchange.sent_at = now()
            self.worker.exchanges.append(exchange)
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
        self.gateway = self.worker.balancer.pick(self.zone, self.random, but)
        ip, port = self.worker.view.gateways[self.gateway][1]
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


HABITS = {"usual": 0, "abuse": 1, "give up": 2}


class Worker:
    """The inside of a client process: an equal share of the load."""

    def __init__(self, view, index, share, habit):
        self.view, self.habit = view, habit
        self.random = random.Random(view.seed * 1009 + index)
        self.rate = view.description.per_second * share
        self.balancer = Balancer(view)
        self.exchanges = collections.deque()
        self.index, self.clients, self.idle = index, [], collections.deque()
        self.most = max(1, int(view.description.clients * share))
        self.unsent = 0
        for _ in range(self.most):
            self.add_client()

    def add_client(self):
        self.clients.append(Client("c%d-%d" % (self.index, len(self.clients)), self))
        self.idle.append(self.clients[-1])
        self.clients[-1].start()

    def run(self, stop):
        self.balancer.start()
        routes = self.view.description.routes
        weights = [route.per_second for route in routes]
        due = now() + self.random.expovariate(self.rate)
        while not stop.is_set():
            time.sleep(max(0.0, min(0.2, due - now())))
            if now() >= due:
                due += self.random.expovariate(self.rate)
                self.dispatch(self.random.choices(routes, weights)[0])

    def dispatch(self, route):
        if not self.idle and len(self.clients) < MOST_CLIENTS * self.most:
            self.add_client()
        if not self.idle:
            self.unsent += 1
            return
        self.idle.popleft().due.put(route)

    def end(self):
        for client in self.clients:
            client.due.put(None)
        for client in self.clients:
            client.join(12.0)
        return list(self.exchanges), self.unsent


def run_clients(view, index, share, habit, stop, pipe):
    worker = Worker(view, index, share, habit)
    worker.run(stop)
    pipe.send(worker.end())


class ClientProcesses:
    """All clients of a deployment."""

    COUNT = 3

    def __init__(self, view):
        self.stop = CONTEXT.Event()
        self.habit = CONTEXT.Value("i", HABITS["usual"])
        self.pipes, self.children = [], []
        for index in range(self.COUNT):
            pipe, other = CONTEXT.Pipe()
            self.pipes.append(pipe)
            self.children.append(CONTEXT.Process(target=run_clients, args=(
                view, index, 1 / self.COUNT, self.habit, self.stop, other)))

    def start(self):
        for child in self.children:
            child.start()

    def set_habit(self, habit):
        self.habit.value = HABITS[habit]

    def end(self, limit_s=60.0):
        """Gives all exchanges, and how many requests no client was free for."""
        self.stop.set()
        exchanges, unsent = [], 0
        for pipe in self.pipes:
            if not pipe.poll(limit_s):
                raise TimeoutError("a client process did not end")
            seen, missed = pipe.recv()
            exchanges += seen
            unsent += missed
        return exchanges, unsent

    def kill(self):
        for child in self.children:
            if child.is_alive():
                end(child)


class DeadlySender(threading.Thread):
    """Sends requests that crash their upstreams to gateways in any order: copies of one content, which
    reset their connection, break an answer without a frame off inside an event (`unframed`) or end it
    whole (`answered`) and crash later, or requests that share a part of their prompt alone."""

    KINDS = ["content", "part", "unframed", "answered"]

    def __init__(self, kind, view, copies, exchanges):
        super().__init__(daemon=True)
        self.kind, self.copies, self.exchanges = kind, copies, exchanges
        self.random = random.Random(view.seed * 31 + self.KINDS.index(kind))
        self.view = view
        self.route = next(route for route in view.description.routes if route.is_stream)

    def run(self):
        description = self.view.description
        for copy in range(self.copies):
            gateway = self.random.choice(list(self.view.gateways))
            request = "deadly-%s-%d" % (self.kind, copy)
            path = "1/deadly-" + ("reset" if self.kind == "content" else self.kind)
            prompt = "5c1e07a2:40,77:700"
            if self.kind == "part":
                path, prompt = request, "%s:40,%x:700" % (DEADLY_PART, self.random.getrandbits(32))
            exchange = Exchange(request, self.route.name, gateway, self.route.limit_s, False, now())
            self.exchanges.append(exchange)
            status, _ = call("%s:%d" % self.view.gateways[gateway][1], "POST",
                             self.route.path + path, "{}", {
                                 "Prompt-Prefix": prompt, "Model": "m", "Token-Count": "800,100",
                                 "Host": "api.example", "Attempt-Id": request,
                                 "Deadline-Ms": "%d" % self.route.limit_ms,
                                 "Authorization": "Bearer " + description.key(description.tenants[0])},
                             limit_s=self.route.limit_s + 1.0)
            exchange.ended_at, exchange.status, exchange.is_whole = now(), status, status != 0
            time.sleep(self.random.uniform(0.1, 0.8))
