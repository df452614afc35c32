"""Stand-ins on the users' protocol: replicas on raw sockets, the operator's and the clients' calls."""

import http.client
import json
import socket
import threading
import time

from deployment import CONTROL, wait_for


def call(ip, port, method, path, body=None, fields=None, limit_s=5.0):
    """One request on a new connection: (status, fields, body); status 0 without a whole answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=limit_s)
    try:
        connection.request(method, path, body, fields or {})
        with connection.getresponse() as answer:
            return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, str(error).encode()
    finally:
        connection.close()


def configuration(version, routes, services, tenants=None):
    result = {"version": version, "routes": routes,
              "services": [{"name": name, "health-path": "/healthz", "max-connections": 110, "protocol": "h1",
                            "tls": False} for name in services],
              "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                         "idle-timeout-ms": 15000}}
    if tenants:
        result["tenants"] = tenants
    return result


class Operator:
    """Sends orders to one node of `control` after another until one gives a clear answer."""

    def __init__(self, deployment):
        self.ips = [machine.ip for machine in deployment.of("core")]

    def put(self, document, limit_s=20.0):
        body, deadline, pause = json.dumps(document).encode(), time.monotonic() + limit_s, 0.05
        while time.monotonic() < deadline:
            for ip in self.ips:
                status, _, answer = call(ip, CONTROL, "PUT", "/-/config", body,
                                         {"Content-Type": "application/json"}, limit_s=1.0)
                if status and status < 500 and status not in (408, 429):
                    return status, answer
            time.sleep(pause)
            pause = min(1.0, pause * 2)
        return 0, b"no clear answer"

    def read(self, limit_s):
        """The configuration read back: asks all nodes in turn until one answers 200, or the limit."""
        deadline, seen = time.monotonic() + limit_s, {}
        while time.monotonic() < deadline:
            for ip in self.ips:
                status, _, answer = call(ip, CONTROL, "GET", "/-/config", limit_s=1.0)
                seen[ip, status] = seen.get((ip, status), 0) + 1
                if status == 200:
                    return json.loads(answer), seen
            time.sleep(0.2)
        return None, seen


class Replica:
    """A replica that announces itself; `handle(replica, connection, request)` answers its requests."""

    def __init__(self, name, service, zone, ip, control_ips, handle, slots=6, beat_s=1.2):
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.control_ips, self.handle, self.beat_s = control_ips, handle, beat_s
        self.sequence = 0
        self.is_announcing = True
        self.acknowledged = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, 0))
        self.listener.listen(256)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept_forever, daemon=True).start()
        threading.Thread(target=self.announce_forever, daemon=True).start()

    def beat(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "sequence": self.sequence, "cold-remaining-ms": 0}

    def announce(self, state="ready"):
        """One heartbeat, to one node after the other until one acknowledges it."""
        body = json.dumps(self.beat(state))
        for ip in self.control_ips:
            status, _, _ = call(ip, CONTROL, "PUT", "/-/instances/" + self.name, body,
                                {"Content-Type": "application/json"}, limit_s=1.0)
            if 200 <= status < 300:
                self.acknowledged += 1
                return True
        return False

    def announce_forever(self):
        while self.is_announcing:
            self.announce()
            time.sleep(self.beat_s)

    def accept_forever(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while request := read_request(reader):
                if request["fields"].get("expect-instance", self.name) != self.name:
                    connection.sendall(answer(421, request, b"", [("Not-Executed", "1")]))
                    continue
                self.handle(self, connection, request)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()


def read_request(reader):
    line = reader.readline().decode("latin-1")
    if not line:
        return None
    method, target, _ = line.split(" ", 2)
    fields = {}
    while text := reader.readline().decode("latin-1").rstrip("\r\n"):
        name, value = text.split(":", 1)
        fields[name.strip().lower()] = value.strip()
    body = reader.read(int(fields.get("content-length", 0)))
    return {"method": method, "target": target, "fields": fields, "body": body,
            "id": fields.get("attempt-id", "")}


def answer(status, request, body, fields=()):
    head = ["HTTP/1.1 %d %s" % (status, http.client.responses.get(status, "Unknown")),
            "Attempt-Id: " + request["id"], "Content-Length: %d" % len(body)]
    head += ["%s: %s" % item for item in fields]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def serves(deployment, port, host, path, fields, limit_s=20.0):
    """Waits until each gateway serves a request of this path."""
    def one(ip):
        return call(ip, port, "POST", path, b"{}",
                    {"Host": host, "Attempt-Id": "warm-%d" % time.monotonic_ns(), "Deadline-Ms": "1000",
                     **fields})[0] == 200
    return all(wait_for(lambda m=machine: one(m.ip), limit_s) for machine in deployment.of("front"))
