"""Addresses in settings and messages, written as ``IP:port``."""

import ipaddress

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def check_address(value: str) -> str:
    """Return the address if it has the form ``IP:port``.

    :raises ValueError: if it does not.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise ValueError("must be IP:PORT with a numeric IP address") from error
    if not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError("must be IP:PORT with a port from 0 to 65535")
    return value
