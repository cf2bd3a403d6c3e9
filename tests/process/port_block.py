#!/usr/bin/env python3
"""Runs a command with a block of loopback ports of its own.

Usage: port_block.py COMMAND...
PORT_BLOCK is the block's first port in the command's environment. That port is bound and not used otherwise: the
command and its children hold it, so the block is taken until the last of them has ended.
"""
import os
import random
import socket
import sys

BLOCK_PORTS = 1_000
# Below the ports that Linux gives to outgoing connections, and without those of scripts/demo (20000 to 21999).
FIRST_PORTS = [*range(10_000, 20_000, BLOCK_PORTS), *range(22_000, 32_000, BLOCK_PORTS)]


def bind(port, reuse):
    """Binds a loopback port. Returns None if it is taken."""
    bound = socket.socket()
    # With reuse, connections that were closed shortly before do not count; a listener does.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(reuse))
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return None
    return bound


def is_free(port):
    bound = bind(port, reuse=True)
    if bound is None:
        return False
    bound.close()
    return True


def reserve(first):
    """Returns the socket that holds the block, or None if any of its ports is taken."""
    holder = bind(first, reuse=False)
    if holder is None:
        return None
    if all(is_free(port) for port in range(first + 1, first + BLOCK_PORTS)):
        return holder
    holder.close()
    return None


def main(command):
    # In random order, so that two runs seldom probe the same block at once.
    for first in random.sample(FIRST_PORTS, len(FIRST_PORTS)):
        holder = reserve(first)
        if holder is None:
            continue
        os.set_inheritable(holder.fileno(), True)
        os.environ["PORT_BLOCK"] = str(first)
        os.execvp(command[0], command)
    sys.exit("port_block.py: no free block of ports")


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    main(sys.argv[1:])
