"""A loopback TCP proxy whose connections can be delayed, reset, silenced or cut in one direction."""

import random
import socket
import struct
import threading
import time

MODES = ["delay", "silence", "cut_to_server", "cut_to_client"]
PIECE = 65536


class Proxy:
    """Forwards to one address. Faults hold for open and new connections until they are taken back."""

    def __init__(self, target_port, seed):
        self.target = ("127.0.0.1", target_port)
        self.random = random.Random(seed)
        self.mode = "pass"
        self.pairs = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        threading.Thread(target=self._accept, daemon=True).start()

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
        threading.Thread(target=self._pump, args=(client, server, "cut_to_server"),
                         daemon=True).start()
        threading.Thread(target=self._pump, args=(server, client, "cut_to_client"),
                         daemon=True).start()

    def _pump(self, source, sink, cut):
        try:
            while True:
                piece = source.recv(PIECE)
                while self.mode in ("silence", cut):
                    time.sleep(0.02)  # nothing is lost: the sender's system sends it again
                if self.mode == "delay":
                    time.sleep(self.random.uniform(0.02, 0.2))
                if source.fileno() < 0:
                    raise OSError("reset while it was read")
                if not piece:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(piece)
        except OSError:
            _reset(sink)
            _reset(source)


def _reset(end):
    """Resets a connection at once. A close alone waits for a thread that reads from the socket, so
    that thread is woken first."""
    try:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        with socket.socket(fileno=end.detach()) as last:
            last.shutdown(socket.SHUT_RD)
    except OSError:
        pass  # it was closed before
