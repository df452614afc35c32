"""Crowds of clients that send without end, or hold what they have begun to send: many connections in one
thread, and what they make a process hold meanwhile."""

import os
import selectors
import socket
import threading
import time

BLOCK = 64 * 1024
MOST_SENT = 16 * 1024 * 1024  # by each client
IDLE_S = 1.5  # a crowd of which nobody can send any more is complete
LONGEST_S = 12.0
BODY = 4 * 1024 * 1024  # default of `/http/most_body_bytes`
HEADER = 16 * 1024  # default of `/http/most_header_bytes`
LARGE_HEADER = 1024 * 1024


def head(path, *fields):
    lines = ["POST %s HTTP/1.1" % path, "Host: api.example", "Authorization: Bearer key-1", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked(path):
    return head(path, "Attempt-Id: crowd", "Deadline-Ms: 8000", "Transfer-Encoding: chunked")


def with_length(path, length):
    return head(path, "Attempt-Id: crowd", "Deadline-Ms: 8000", "Content-Length: %d" % length)


def endless(block):
    for _ in range(MOST_SENT // len(block)):
        yield block


def chunks(size, total):
    chunk = b"%x\r\n%s\r\n" % (size, b"c" * size)
    per_block = max(1, BLOCK // len(chunk))
    for _ in range(total // (size * per_block)):
        yield chunk * per_block


# What a client sends to a path, by name. None of them sends a whole request but the last ones.


def trailers(path):
    yield chunked(path) + b"1\r\nx\r\n0\r\n"
    yield from endless(b"X-More: y\r\n" * (BLOCK // 11))


def one_trailer(path):
    yield chunked(path) + b"1\r\nx\r\n0\r\nX-More: "
    yield from endless(b"y" * BLOCK)


def extension(path):
    yield chunked(path) + b"1;"
    yield from endless(b"y" * BLOCK)


def large_chunks(path):
    yield chunked(path)
    yield from chunks(BLOCK, BODY - BLOCK)
    yield b"%x\r\n%s" % (BLOCK, b"c" * (BLOCK - 1))


def small_chunks(path):
    yield chunked(path)
    yield from chunks(1, 256 * 1024)


def announced(path):
    yield with_length(path, BODY)
    yield from [b"b" * BLOCK] * (BODY // BLOCK - 1)
    yield b"b" * (BLOCK - 1)


def announced_too_much(path):
    yield with_length(path, 10_000_000_000)
    yield from endless(b"b" * BLOCK)


def sent_too_much(path):
    yield chunked(path)
    yield from chunks(BLOCK, MOST_SENT)


def endless_header(path):
    yield head(path)[:-2]
    yield from endless(b"X-More: y\r\n" * (BLOCK // 11))


def unfinished_header(path):
    """Within the limit of a server that takes headers of `LARGE_HEADER`."""
    line = b"X-More: %s\r\n" % (b"y" * 8000)
    yield head(path)[:-2] + line * ((LARGE_HEADER - 1024) // len(line))


def unfinished_header_of_many_fields(path):
    begin = head(path)[:-2]
    yield begin + b"a:b\r\n" * ((HEADER - len(begin) - 16) // 5)


def nothing(_):
    yield from ()


def whole_body(path):
    yield with_length(path, BODY)
    yield from [b"b" * BLOCK] * (BODY // BLOCK)


def sent_ahead(path):
    yield with_length(path, 2) + b"{}" + with_length(path, BODY)
    yield from [b"b" * BLOCK] * (BODY // BLOCK - 1)


def many_fields(path):
    begin = head(path, "Attempt-Id: crowd", "Deadline-Ms: 8000", "Content-Length: 2")[:-2]
    yield begin + b"a:b\r\n" * ((HEADER - len(begin) - 16) // 5) + b"\r\n{}"


def short(path):
    yield with_length(path, 2) + b"{}"


# The same at a link address, in ZMTP 3.0: a handshake, and then a message without end.


def link_handshake():
    def property_of(name, value):
        return bytes([len(name)]) + name + len(value).to_bytes(4, "big") + value
    greeting = b"\xff" + 8 * b"\0" + b"\x7f\x03\0" + b"NULL".ljust(20, b"\0") + 32 * b"\0"
    ready = b"\x05READY" + property_of(b"Socket-Type", b"DEALER") + property_of(b"Identity", b"")
    return greeting + b"\x04" + bytes([len(ready)]) + ready


def link_frame(_):
    yield link_handshake() + b"\x02" + (1 << 30).to_bytes(8, "big")
    yield from endless(b"f" * BLOCK)


def link_frame_within_the_limit(_):
    yield link_handshake() + b"\x02" + (32 << 20).to_bytes(8, "big")
    yield from endless(b"f" * BLOCK)


def link_parts(_):
    yield link_handshake()
    yield from endless(b"\x03" + BLOCK.to_bytes(8, "big") + b"p" * BLOCK)


def link_empty_parts(_):
    yield link_handshake()
    yield from endless(b"\x01\x00" * (BLOCK // 2))


def no_link(_):
    yield from endless(b"n" * BLOCK)


UNFINISHED = [trailers, one_trailer, extension, large_chunks, small_chunks, announced, announced_too_much,
              sent_too_much, endless_header, nothing]


class Client:
    def __init__(self, port, pieces):
        self.pieces = pieces
        self.rest = memoryview(b"")
        self.is_finished = False
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))

    def send_some(self):
        """Whether it sent anything."""
        if not self.rest:
            try:
                self.rest = memoryview(next(self.pieces))
            except StopIteration:
                self.is_finished = True
                return False
        self.rest = self.rest[self.socket.send(self.rest):]
        return True


class Crowd:
    """`count` clients for each way to send, at one port. They stay connected until `close`."""

    def __init__(self, port, path, ways, count, reads=True):
        self.reads = reads
        self.selector = selectors.DefaultSelector()
        self.clients = [Client(port, way(path)) for _ in range(count) for way in ways]
        for client in self.clients:
            self.selector.register(client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, client)

    def send_all(self):
        """Sends until all have sent what they have, or nobody can send any more."""
        begun = sent_at = time.monotonic()
        while self.selector.get_map() and time.monotonic() < begun + LONGEST_S:
            for key, events in self.selector.select(0.1):
                if self.serve(key.data, events):
                    sent_at = time.monotonic()
            if time.monotonic() > sent_at + IDLE_S:
                return

    def serve(self, client, events):
        try:
            if events & selectors.EVENT_READ and not self.read(client):
                return False
            sent = events & selectors.EVENT_WRITE and client.send_some()
            if client.is_finished:
                self.selector.modify(client.socket, selectors.EVENT_READ, client)
                if not self.reads:
                    self.selector.unregister(client.socket)
            return bool(sent)
        except BlockingIOError:
            return False
        except OSError:
            self.selector.unregister(client.socket)  # the server has closed
            return False

    def read(self, client):
        """Whether the connection is open. One that the server has closed stays so at this end."""
        if not self.reads:
            return True
        if client.socket.recv(BLOCK):
            return True
        self.selector.unregister(client.socket)
        return False

    def close(self):
        self.selector.close()
        for client in self.clients:
            client.socket.close()


def unread_kb(port):
    """What lies unread in the sockets of a port of this host."""
    local = "0100007F:%04X" % port
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = [line.split() for line in table.readlines()[1:]]
    return sum(int(row[4].partition(":")[2], 16) for row in rows if row[1] == local and row[3] == "01") // 1024


class Gauge(threading.Thread):
    """The most memory and descriptors of a process, with what lies unread in the sockets of its port."""

    def __init__(self, pid, port):
        super().__init__(daemon=True)
        self.pid, self.port = pid, port
        self.most_memory_kb = self.most_descriptors = 0
        self.is_over = threading.Event()
        self.start()

    def run(self):
        while not self.is_over.wait(0.05):
            self.look()

    def look(self):
        try:
            self.most_memory_kb = max(self.most_memory_kb, self.status_kb("VmRSS") + unread_kb(self.port),
                                      self.status_kb("VmHWM"))
            self.most_descriptors = max(self.most_descriptors, len(os.listdir("/proc/%d/fd" % self.pid)))
        except OSError:
            pass  # the process has ended, which its test finds

    def status_kb(self, name):
        with open("/proc/%d/status" % self.pid, encoding="ascii") as page:
            return next(int(line.split()[1]) for line in page if line.startswith(name))

    def end(self):
        self.is_over.set()
        self.join()
