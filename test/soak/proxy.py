"""A loopback TCP proxy whose connections can be delayed, reset, silenced or cut in one direction."""

import queue
import random
import re
import socket
import struct
import threading
import time

MODES = ["delay", "silence", "cut_to_server", "cut_to_client"]
HOLDS_REQUESTS = ("silence", "cut_to_server")
PIECE = 65536
REQUEST_ID = re.compile(rb"\r\nAttempt-Id: *(\S+)\r\n", re.IGNORECASE)


class Piece:
    """Bytes on their way to the server, and the request that they belong to, if any."""

    def __init__(self, request, content, received_at):
        self.request = request
        self.content = content  # empty: the end; None: the connection broke
        self.received_at = received_at
        self.passed_at = None
        self.was_held = False


class Proxy:
    """Forwards to one address. Faults hold for open and new connections until they are taken back."""

    def __init__(self, target_port, seed):
        self.target = ("127.0.0.1", target_port)
        self.random = random.Random(seed)
        self.held_until = 0.0  # when the last fault that held requests was taken back
        self._mode = "pass"
        self.pairs = []
        self.pieces = []  # of requests, in the order in which they were received
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def mode(self):
        return self._mode

    @mode.setter
    def mode(self, mode):
        if mode not in HOLDS_REQUESTS and self._mode in HOLDS_REQUESTS:
            self.held_until = time.monotonic()
        self._mode = mode

    def received_at(self, request, arrived_at):
        """When the last piece of a request that arrived at `arrived_at` reached the proxy, if a fault
        held it there; `arrived_at` for any other request."""
        with self.lock:
            before = [piece for piece in self.pieces if piece.request == request
                      and piece.passed_at is not None and piece.passed_at <= arrived_at]
        last = max(before, key=lambda piece: piece.passed_at, default=None)
        return last.received_at if last is not None and last.was_held else arrived_at

    def reset_all(self):
        """Resets every open connection."""
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for end in pair:
                _reset(end)

    def close(self):
        self.listener.close()
        self.reset_all()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._open, args=(client,), daemon=True).start()

    def _open(self, client):
        received = queue.SimpleQueue()
        threading.Thread(target=self._receive, args=(client, received), daemon=True).start()
        while self.mode == "silence":
            time.sleep(0.02)  # a connection to a host that is cut off comes about when it is back
        try:
            server = socket.create_connection(self.target, timeout=5.0)
            server.settimeout(None)
        except OSError:
            _reset(client)
            return
        with self.lock:
            self.pairs.append((client, server))
        threading.Thread(target=self._pump_to_server, args=(received, client, server),
                         daemon=True).start()
        threading.Thread(target=self._pump_to_client, args=(server, client), daemon=True).start()

    def _receive(self, source, received):
        """Reads on while a fault holds what came before, so that each piece has the time at which its
        sender had sent it."""
        request = None
        while True:
            try:
                content = source.recv(PIECE)
            except OSError:
                content = None
            found = REQUEST_ID.findall(content or b"")
            request = found[-1].decode() if found else request
            piece = Piece(request, content, time.monotonic())
            if content and request is not None:
                with self.lock:
                    self.pieces.append(piece)
            received.put(piece)
            if not content:
                return

    def _pump_to_server(self, received, source, sink):
        try:
            while True:
                piece = received.get()
                if piece.content is None:
                    raise OSError("broken by the client")
                self._wait("cut_to_server")
                _check_open(source)
                piece.was_held = piece.received_at <= self.held_until
                piece.passed_at = time.monotonic()
                if not _pass_on(piece.content, sink):
                    return
        except OSError:
            _reset(sink)
            _reset(source)

    def _pump_to_client(self, source, sink):
        try:
            while True:
                content = source.recv(PIECE)
                self._wait("cut_to_client")
                _check_open(source)
                if not _pass_on(content, sink):
                    return
        except OSError:
            _reset(sink)
            _reset(source)

    def _wait(self, cut):
        while self.mode in ("silence", cut):
            time.sleep(0.02)  # nothing is lost: the sender's system sends it again
        if self.mode == "delay":
            time.sleep(self.random.uniform(0.02, 0.2))


def _check_open(source):
    if source.fileno() < 0:
        raise OSError("reset while it was read")


def _pass_on(content, sink):
    """Whether more may follow."""
    if content:
        sink.sendall(content)
    else:
        sink.shutdown(socket.SHUT_WR)
    return bool(content)


def _reset(end):
    """Resets a connection at once. A close alone waits for a thread that reads from the socket, so
    that thread is woken first."""
    try:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        with socket.socket(fileno=end.detach()) as last:
            last.shutdown(socket.SHUT_RD)
    except OSError:
        pass  # it was closed before
