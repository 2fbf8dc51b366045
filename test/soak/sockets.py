"""Finds the process at the other end of a connection on loopback."""

import os
import socket
import struct

# From linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
NETLINK_SOCK_DIAG = 4
NLM_F_REQUEST = 1
NLMSG_ERROR = 2
SOCK_DIAG_BY_FAMILY = 20
HEADER = struct.Struct("=IHHII")
REQUEST = struct.Struct("=BBBBI")
ALL_STATES = 0xFFFFFFFF
NO_COOKIE = b"\xff" * 8
# The inode is the last number of inet_diag_msg: after four bytes, the socket's identity and four numbers.
INODE_AT = HEADER.size + 4 + 48 + 16


def identity(local, remote):
    """Returns the addresses as inet_diag_sockid holds them."""
    ports = struct.pack("!HH", local[1], remote[1])
    addresses = socket.inet_aton(local[0]).ljust(16, b"\0") + socket.inet_aton(remote[0]).ljust(16, b"\0")
    return ports + addresses + struct.pack("=I", 0) + NO_COOKIE


def inode_of(local, remote):
    """Returns the inode of the socket with these addresses, None if there is none or no process owns it.

    Asks for this one socket: the kernel's table of all sockets takes too long to read where many have ended of late.
    """
    request = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES) + identity(local, remote)
    header = HEADER.pack(HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        netlink.send(header + request)
        answer = netlink.recv(65536)
    if HEADER.unpack_from(answer)[1] == NLMSG_ERROR:
        return None
    return struct.unpack_from("=I", answer, INODE_AT)[0] or None


def owns(process, inode):
    """Returns whether the process has the socket open."""
    folder = f"/proc/{process}/fd"
    wanted = f"socket:[{inode}]"
    try:
        names = os.listdir(folder)
    except OSError:
        # The process has ended.
        return False
    return any(points_to(f"{folder}/{name}", wanted) for name in names)


def points_to(link, wanted):
    try:
        return os.readlink(link) == wanted
    except OSError:
        # The file was closed meanwhile.
        return False
