#!/usr/bin/env python3
"""Sends a piece again and again on each connection that it is handed, in a process of its own, so that it keeps its
pace beside callers. Standard input is a socket by which connections come, each with its pause and its piece."""

import json
import socket
import subprocess
import sys
import threading
import time

LARGEST = 1 << 20


def flood(connection, pause, piece):
    connection.setblocking(True)
    try:
        while True:
            connection.sendall(piece)
            time.sleep(pause)
    except OSError:
        connection.close()


def main():
    orders = socket.socket(fileno=0)
    while True:
        data, connections, _, _ = socket.recv_fds(orders, LARGEST, 1)
        if not data:
            break
        order = json.loads(data)
        connection = socket.socket(fileno=connections[0])
        piece = order["piece"].encode("latin-1")
        threading.Thread(target=flood, args=(connection, order["pause"], piece), daemon=True).start()


class Flooder:
    """The side of the process that hands connections over."""

    def __init__(self):
        self.orders, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for end in (self.orders, theirs):
            end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGEST)
        self.child = subprocess.Popen([sys.executable, __file__], stdin=theirs)
        theirs.close()

    def take(self, connection, pause, piece):
        order = json.dumps({"pause": pause, "piece": piece.decode("latin-1")})
        socket.send_fds(self.orders, [order.encode()], [connection.fileno()])

    def stop(self):
        self.orders.close()
        self.child.kill()
        self.child.wait()


if __name__ == "__main__":
    main()
