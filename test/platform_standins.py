"""Stand-ins on the platform's protocol, for sessions and the soak: upstreams, calls, configurations."""

import http.client
import http.server
import json
import os
import socket
import struct
import threading
import time

from dewbeam_site import free_port

EVENTS = 12
DEADLY_PART = "dead"  # how the id of a part of a prompt begins that ends a `MortalUpstream`


def process_settings(site, name, links):
    """Settings that gateways and registrars of a small site share; `links`: of its registrars."""
    return {"deployment": site.deployment, "host": name, "failure_domain": "z1", "threads": 1,
            "http": {"listen": "127.0.0.1:%d" % free_port()}, "registries": {"seeds": links}}


class Upstream:
    """A replica: runs what names it, counts runs by request id, and announces itself."""

    ip = "127.0.0.1"
    slots = 8

    def __init__(self, name, service, registries, domain="z1"):
        self.name = name
        self.service = service
        self.registries = registries
        self.sequence = 0
        self.runs = []
        self.arrivals = []  # of each run: request id and time
        self.cuts = []  # events after which the next streams break; shared between upstreams
        self.refuses = False
        self.refused = []  # request id and time
        self.retry_after = None  # in its refusals
        self.says_leaving = False  # in its answers
        self.born = None  # of its process, ms; it announces none if empty
        self.limit = None  # requests a second that it takes from all gateways together
        self.pause_s = 0.005
        self.hold_s = 0.0  # before each answer
        self.domain = domain
        self.cold_until = 0.0  # it announces itself as cold until then
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                owner.serve(self)

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                owner.serve(self)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                pass  # a gateway that goes away is part of the tests

        self.server = Server((self.ip, 0), Handler)
        self.address = "%s:%d" % (self.ip, self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.is_announcing = True
        threading.Thread(target=self.announce_forever, daemon=True).start()

    def serve(self, handler):
        request = handler.headers["Attempt-Id"]
        if handler.headers["Expect-Instance"] != self.name:
            return self.answer(handler, 421, request, b"")
        if self.refuses:
            self.refused.append((request, time.monotonic()))
            return self.answer(handler, 503, request, b"", [("Not-Executed", "1"), *self.refusal_fields()])
        self.arrivals.append((request, time.monotonic()))
        self.runs.append((request, dict(handler.headers)))
        time.sleep(self.hold_s)
        if "/stream/" not in handler.path:
            return self.answer(handler, 200, request, ("%s ran at %s" % (request, self.name)).encode(),
                               self.own_fields())
        first = int(handler.headers.get("Last-Event-Id", 0))
        cut_after = self.cuts.pop(0) if self.cuts else None
        handler.send_response(200)
        for name, value in (("Attempt-Id", request), ("Response-Stamp", "stamp-" + self.name),
                            ("Content-Type", "text/event-stream"),
                            ("Transfer-Encoding", "chunked"), *self.own_fields()):
            handler.send_header(name, value)
        handler.end_headers()
        for event in range(first + 1, EVENTS + 1):
            data = b"id: %d\ndata: word-%d\n\n" % (event, event)
            if cut_after is not None and event > cut_after:
                half = data[:6]
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(half), half))
                handler.wfile.flush()
                handler.connection.close()
                handler.close_connection = True
                return None
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            handler.wfile.flush()
            time.sleep(self.pause_s)
        handler.wfile.write(b"0\r\n\r\n")
        return None

    def own_fields(self):
        """What it says of itself in each answer."""
        limit = [] if self.limit is None else [("Server-Limit", "%g" % self.limit)]
        return limit + ([("Server-Leaving", "1")] if self.says_leaving else [])

    def refusal_fields(self):
        backoff = [] if self.retry_after is None else [("Retry-After", self.retry_after)]
        return backoff + self.own_fields()

    @staticmethod
    def answer(handler, status, request, body, fields=()):
        handler.send_response(status)
        for name, value in [("Attempt-Id", request), ("Response-Stamp", "stamp"), *fields]:
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def announce(self, state="ready"):
        self.sequence += 1
        cold_ms = int(1000 * max(0.0, self.cold_until - time.monotonic()))
        beat = {"service": self.service, "address": self.address, "zone": self.domain,
                "version": "v1", "slots": self.slots, "state": state, "sequence": self.sequence,
                "cold-remaining-ms": cold_ms}
        if self.born is not None:
            beat["born"] = self.born
        for port in self.registries:
            status, _ = call(port, "PUT", "/-/instances/" + self.name, json.dumps(beat))
            if status == 200:
                return True
        return False

    def announce_forever(self):
        while self.is_announcing:
            self.announce()
            time.sleep(0.3)

    def leave(self):
        self.is_announcing = False
        time.sleep(0.4)  # an announcement under way comes first
        return self.announce("draining")

    def stop(self):
        self.is_announcing = False
        self.server.shutdown()


class MortalUpstream(Upstream):
    """An upstream that ends when it runs a path with `deadly-HOW` in it, when it is told to, or, as by
    `part`, when it runs a prompt with a deadly part before the last; it never comes back. HOW: `reset`,
    `part` (after a part of its answer), `unframed` (closes its answer, which has no length, inside an
    event, and then ends), `unframed-later` (the same, and serves on for `linger_s`), `closed-later` (so
    behind a whole answer without a length), `after` (ends behind a whole answer), `after-later` (so
    after `linger_s`) or `silent`."""

    linger_s = 0.1

    def __init__(self, name, service, registries, on_end):
        self.on_end = on_end
        self.has_ended = False
        self.is_silent = False  # after its end its host still takes connections
        self.breaks_answers = False  # its end also breaks off the answers under way to others
        self.connections = set()
        super().__init__(name, service, registries)

    def serve(self, handler):
        self.connections.add(handler.connection)
        if self.has_ended and not self.is_silent:
            return self.reset_connections()
        if self.has_ended:
            time.sleep(3600.0)
        how = "part" if self.has_deadly_part(handler) else handler.path.rpartition("/deadly-")[2]
        if how.startswith("after"):
            super().serve(handler)
            threading.Timer(self.linger_s if how == "after-later" else 0.02, self.end, ("reset",)).start()
            return None
        if how not in ("reset", "part", "unframed", "unframed-later", "closed-later", "silent"):
            return super().serve(handler)
        self.arrivals.append((handler.headers["Attempt-Id"], time.monotonic()))
        self.runs.append((handler.headers["Attempt-Id"], dict(handler.headers)))
        if how != "reset" and how != "silent":
            self.begin_answer(handler, how == "part")
        if how.startswith("unframed"):
            handler.wfile.write(b"id: 2\nda")
        if how.endswith("later") or how == "unframed":
            handler.connection.shutdown(socket.SHUT_WR)
        time.sleep(self.linger_s if how.endswith("later") else 0.02)
        self.end(how)
        handler.close_connection = True
        return None

    def has_deadly_part(self, handler):
        parts = handler.headers.get("Prompt-Prefix", "").split(",")
        return handler.headers["Expect-Instance"] == self.name and \
            any(part.strip().lower().startswith(DEADLY_PART) for part in parts[:-1])

    def begin_answer(self, handler, has_length):
        handler.send_response(200)
        handler.send_header("Attempt-Id", handler.headers["Attempt-Id"])
        handler.send_header("Response-Stamp", "stamp-" + self.name)
        is_stream = "/stream/" in handler.path
        handler.send_header("Content-Type", "text/event-stream" if is_stream else "text/plain")
        if has_length:
            handler.send_header("Content-Length", "1000")
        handler.end_headers()
        handler.wfile.write(b"id: 1\ndata: word-1\n\n")
        handler.wfile.flush()
        time.sleep(0.02)

    def end(self, how):
        if self.has_ended:
            return
        self.is_silent = how == "silent"
        self.has_ended = True
        self.is_announcing = False
        if how != "silent":
            self.server.socket.shutdown(socket.SHUT_RDWR)
            self.reset_connections()
        threading.Thread(target=self.on_end, args=(self,), daemon=True).start()
        if how == "silent":
            time.sleep(3600.0)

    def reset_connections(self):
        for connection in list(self.connections):
            self.connections.discard(connection)
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
                if self.breaks_answers:
                    os.close(connection.detach())  # `close` waits for those who write
                connection.close()
            except OSError:
                pass  # it was over

    def end_as_planned(self):
        """Announces the end, serves on for a while, and goes."""
        self.is_announcing = False
        if self.announce("draining"):
            threading.Timer(3.0, self.end, ("reset",)).start()


class BreakingUpstream(Upstream):
    """An upstream that ends the first answers to a request as its path says, and its later ones well:
    `/KIND/FRAME-PLACE-END-LINES-COUNT/...`.

    FRAME: `length`, `chunks`, `last` (chunks, the last one sent also behind a part) or `close`.
    PLACE: `head`, `inside` an event, behind a `line` of it, `between` events or `whole`; of a plain
    body all but `head` and `whole` are its middle.
    END: `fin`, `reset` or `silence`. LINES: `lf`, `crlf` or `cr`. COUNT: how many answers end so.
    Behind a whole stream stands what `TAILS` names, where COUNT is one of its names."""

    TAILS = {"none": b"", "line": b"\n", "comment": b": bye\n", "part": b": by", "comments": b": a\n\n: b\n\n"}
    LINES = {"lf": b"\n", "crlf": b"\r\n", "cr": b"\r"}
    BREAK_AFTER = 4  # events

    def __init__(self, name, service, registries, begun):
        self.begun = begun  # answers by request id, shared by all
        self.is_read = threading.Event()  # the caller has what was sent until now
        self.is_read.set()
        self.was_read = []  # of each answer that came so far: before the limit
        super().__init__(name, service, registries)

    def serve(self, handler):
        parts = handler.path.split("/")
        plan = parts[2].split("-") if len(parts) > 2 else []
        request = handler.headers["Attempt-Id"]
        if len(plan) != 5 or handler.headers["Expect-Instance"] != self.name:
            return super().serve(handler)
        self.runs.append((request, dict(handler.headers)))
        frame, place, end, lines, count = plan
        number = self.begun[request] = self.begun.get(request, 0) + 1
        if place != "whole" and number > int(count):
            place, end = "whole", "fin"
        is_stream = parts[1] in ("stream", "fixed")
        pieces = self.events(lines, int(handler.headers.get("Last-Event-Id", 0)), count) \
            if is_stream else [request.encode(), b" ran at ", self.name.encode()]
        self.write_head(handler, request, frame, sum(map(len, pieces)), is_stream)
        for index, piece in enumerate(self.until(place, pieces, self.LINES[lines], is_stream)):
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece)
                                if frame in ("chunks", "last") else piece)
            handler.wfile.flush()
            if index + 1 == self.BREAK_AFTER:
                self.was_read.append(self.is_read.wait(10.0))
        if frame == "last" or (frame == "chunks" and place == "whole"):
            handler.wfile.write(b"0\r\n\r\n")
        return self.end(handler, "keep" if place == "whole" and frame != "close" else end)

    @classmethod
    def events(cls, lines, last, tail):
        end = cls.LINES[lines]
        result = [b"id: %d%sdata: word-%d%s%s" % (number, end, number, end, end)
                  for number in range(last + 1, EVENTS + 1)]
        if cls.TAILS.get(tail):
            result.append(cls.TAILS[tail])
        return result

    @classmethod
    def until(cls, place, pieces, line_end, is_stream):
        """The pieces that are sent before the answer ends."""
        if place == "whole":
            return pieces
        if place == "head":
            return []
        if not is_stream:
            return pieces[:1]
        sent, rest = pieces[:cls.BREAK_AFTER], b"".join(pieces[cls.BREAK_AFTER:])
        if place == "inside":
            sent.append(rest[:rest.index(line_end) + len(line_end) + 4])
        elif place == "line":
            sent.append(rest[:rest.index(line_end + line_end) + len(line_end)])
        return sent

    def write_head(self, handler, request, frame, length, is_stream):
        handler.send_response(200)
        for name, value in (("Attempt-Id", request), ("Response-Stamp", "stamp-" + self.name),
                            ("Content-Type", "text/event-stream" if is_stream else "text/plain")):
            handler.send_header(name, value)
        if frame == "length":
            handler.send_header("Content-Length", str(length))
        elif frame != "close":
            handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()

    @staticmethod
    def end(handler, how):
        if how == "keep":
            return
        if how == "silence":
            time.sleep(8.0)
        handler.close_connection = True
        time.sleep(0.02)  # what was sent is read before a reset discards it
        handler.wfile.flush()
        if how == "reset":
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          struct.pack("ii", 1, 0))
        else:
            handler.connection.shutdown(socket.SHUT_WR)
        handler.connection.close()


class FloodingUpstream(Upstream):
    """An upstream that answers the first requests of a name with bytes without end, as its path says, and
    its later ones well: `/KIND/WHAT-COUNT/...`. It stops when its connection is closed.

    WHAT of any answer: `interim` answers, a `head`, `garbage`, `chunks` or a body that has no length
    (`unframed`). WHAT of a stream: a `line`, an `event` or `comments`, each at once or, with `later` behind
    it, after some events. COUNT: how many answers are such."""

    EVENTS_BEFORE = 4
    BLOCK = 64 * 1024
    REPEATED = {"interim": b"HTTP/1.1 100 Continue\r\n\r\n", "head": b"X-More: " + b"y" * 100 + b"\r\n",
                "garbage": b"\x16\x03no answer", "chunks": b"z", "unframed": b"z", "line": b"z",
                "event": b"data: more\n", "comments": b": still here\n\n"}
    MOST_BYTES = 512 * 1024 * 1024  # so that a reader that never closes ends the test, too

    def __init__(self, name, service, registries, begun):
        self.begun = begun  # answers by request id, shared by all
        self.flooded = []  # of each such answer: bytes taken until its connection was closed
        super().__init__(name, service, registries)

    def serve(self, handler):
        what, _, rest = (handler.path.split("/") + ["", ""])[2].partition("-")
        is_later = what.endswith("later")
        what = what.removesuffix("later")
        request = handler.headers["Attempt-Id"]
        if what not in self.REPEATED or handler.headers["Expect-Instance"] != self.name:
            return super().serve(handler)
        number = self.begun[request] = self.begun.get(request, 0) + 1
        if number > int(rest):
            return super().serve(handler)
        self.arrivals.append((request, time.monotonic()))
        self.runs.append((request, dict(handler.headers)))
        handler.close_connection = True
        try:
            if what not in ("interim", "head", "garbage"):
                self.begin(handler, request, what, is_later)
            self.flood(handler, what)
        except OSError:
            pass  # the gateway has closed
        return None

    def begin(self, handler, request, what, is_later):
        handler.send_response(200)
        is_stream = "/stream/" in handler.path
        for name, value in (("Attempt-Id", request), ("Response-Stamp", "stamp-" + self.name),
                            ("Content-Type", "text/event-stream" if is_stream else "text/plain")):
            handler.send_header(name, value)
        if what != "unframed":
            handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        if is_later:
            events = b"".join(b"id: %d\ndata: word-%d\n\n" % (number, number)
                              for number in range(1, self.EVENTS_BEFORE + 1))
            handler.wfile.write(self.framed(events, what))
            handler.wfile.flush()

    @staticmethod
    def framed(data, what):
        return data if what in ("interim", "head", "garbage", "unframed") else \
            b"%x\r\n%s\r\n" % (len(data), data)

    def flood(self, handler, what):
        repeated = self.REPEATED[what]
        block = self.framed(repeated * (self.BLOCK // len(repeated)), what)
        if what == "head":
            handler.wfile.write(b"HTTP/1.1 200 OK\r\nAttempt-Id: " +
                                handler.headers["Attempt-Id"].encode() + b"\r\n")
        taken = 0
        try:
            while taken < self.MOST_BYTES:
                handler.wfile.write(block)
                taken += len(block)
        finally:
            self.flooded.append(taken)


class GarbageListener:
    """Sends bytes that are no answer to whoever connects, without waiting for a request."""

    BLOCK = b"\x16\x03no answer" * 6000

    def __init__(self):
        self.taken = []  # bytes that each connection took
        self.server = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return  # closed
            threading.Thread(target=self.flood, args=(connection,), daemon=True).start()

    def flood(self, connection):
        taken = 0
        with connection:
            try:
                while taken < FloodingUpstream.MOST_BYTES:
                    connection.sendall(self.BLOCK)
                    taken += len(self.BLOCK)
            except OSError:
                pass  # the caller has closed
        self.taken.append(taken)

    def close(self):
        self.server.shutdown(socket.SHUT_RDWR)  # wakes `accept`
        self.server.close()


def read_pieces(answer):
    """Yields the pieces of an answer's body as they come; raises where it isn't whole."""
    while piece := answer.read1(65536):
        yield piece
    if not answer.isclosed() and answer.length != 0:
        raise http.client.IncompleteRead(b"")


def call(place, method, path, body=None, fields=None, limit_s=5.0):
    """One request to a port of this host, or to an address; status 0 where there is no whole answer."""
    address = place if isinstance(place, str) else "127.0.0.1:%d" % place
    connection = http.client.HTTPConnection(address, timeout=limit_s)
    try:
        connection.request(method, path, body, fields or {})
        with connection.getresponse() as answer:
            return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)
    finally:
        connection.close()


def configuration(version, **changes):
    route = {"host": "api.example", "timeout-ms": 4000, "target-latency-ms": 400, "priority": 1,
             "max-attempts": 2, "service": "chat"}
    result = {
        "version": version,
        "routes": [{**route, "name": "stream", "path-prefix": "/stream/", "kind": "streaming",
                    "stream-resume": True, "gap-aim-ms": 120},
                   {**route, "name": "once", "path-prefix": "/once/", "kind": "unsafe"},
                   {**route, "name": "safe", "path-prefix": "/safe/", "kind": "safe"}],
        "services": [{"name": "chat", "health-path": "/healthz", "max-connections": 100}],
        "tenants": [{"name": "t1", "api-keys": ["key-1"]}],
    }
    result.update(changes)
    return result
