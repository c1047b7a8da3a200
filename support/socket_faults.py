"""Errors of socket calls as Linux documents them, broken connections, and peers that send byte by byte.

`SocketFaults` replaces calls below asyncio, whose selector event loop makes every socket call through
`socket.socket`. uvloop makes its own system calls; there the errors are raised above it, in
`create_connection`, and as the error that a transport reports (`connection_lost`). Listeners make their calls
through `socket.socket` under both, and what the node writes itself counts as `send` under both.
"""

from __future__ import annotations

import asyncio
import os
import socket
import stat
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

import uvloop

FaultSelector = Callable[[str, Any], bool]
"""Says whether a fault applies to a call. Takes its name and its subject: the socket, or the address of
`connect`, `bind` and `create_connection`."""


def port_of(address: Any) -> int:
    """Returns the port of an address, 0 for one that has none."""
    return int(address[1]) if isinstance(address, tuple) and len(address) > 1 else 0


def to_port(port: int) -> FaultSelector:
    """Selects calls on sockets that are connected to this port, and on addresses with it."""

    def selects(_call: str, subject: Any) -> bool:
        if isinstance(subject, tuple):
            return port_of(subject) == port
        try:
            return port_of(subject.getpeername()) == port
        except OSError:
            return False

    return selects


def from_port(port: int) -> FaultSelector:
    """Selects calls on a listener at this port, on the connections that it accepted, and on its address."""

    def selects(_call: str, subject: Any) -> bool:
        if isinstance(subject, tuple):
            return port_of(subject) == port
        try:
            return port_of(subject.getsockname()) == port
        except OSError:
            return False

    return selects


@dataclass(slots=True)
class Fault:
    """An error of the calls that `selects` chooses, raised `times_left` times, each time with this
    probability."""

    call: str
    error_number: int
    selects: FaultSelector
    times_left: int
    probability: float


class SocketFaults:
    """The faults in force, and how often each call has failed. Random choices depend on the seed alone."""

    def __init__(self, seed: int = 1) -> None:
        self.faults: list[Fault] = []
        self.failure_counts: Counter[str] = Counter()
        self.short_counts: Counter[str] = Counter()
        self.short_reads = self.short_writes = False  # whether calls take one byte only
        self.short_selects: FaultSelector = lambda _call, _subject: True
        self._random = Random(seed)

    def add(
        self,
        call: str,
        number: int,
        selects: FaultSelector = lambda _call, _subject: True,
        *,
        times: int = 1 << 30,
        share: float = 1.0,
    ) -> None:
        """Adds a fault. `call` is socket, bind, listen, accept, connect, recv, send, os.read or
        create_connection."""
        self.faults.append(Fault(call, number, selects, times, share))

    def clear(self) -> None:
        """Ends all faults."""
        self.faults.clear()
        self.short_reads = self.short_writes = False

    def raise_fault(self, call: str, subject: Any) -> None:
        """Raises the OSError of the first fault that is in force for this call."""
        for fault in self.faults:
            if fault.call != call or not fault.times_left or not fault.selects(call, subject):
                continue
            if self._random.random() >= fault.probability:
                continue
            fault.times_left -= 1
            self.failure_counts[call] += 1
            raise OSError(fault.error_number, os.strerror(fault.error_number))

    def is_short(self, call: str, subject: Any) -> bool:
        """Returns whether this call takes one byte only, and counts it then."""
        is_enabled = self.short_reads if call == "recv" else self.short_writes
        if not is_enabled or not self.short_selects(call, subject):
            return False
        self.short_counts[call] += 1
        return True

    @contextmanager
    def installed(self) -> Iterator[SocketFaults]:
        """Replaces the calls below and above the event loops within a `with` block."""
        patches = [
            (socket.socket, "__init__", self._socket(socket.socket.__init__)),
            (socket.socket, "accept", self._on_socket("accept", socket.socket.accept)),
            (socket.socket, "listen", self._on_socket("listen", socket.socket.listen)),
            (socket.socket, "bind", self._on_address("bind", socket.socket.bind)),
            (socket.socket, "connect", self._on_address("connect", socket.socket.connect)),
            (socket.socket, "recv", self._recv(socket.socket.recv)),
            (socket.socket, "send", self._send(socket.socket.send)),
            (os, "read", self._read(os.read)),
            (os, "write", self._write(os.write)),
            (uvloop.Loop, "create_connection", self._connection(uvloop.Loop.create_connection)),
        ]
        before = [(owner, name, owner.__dict__.get(name)) for owner, name, _ in patches]
        for owner, name, replacement in patches:
            setattr(owner, name, replacement)
        try:
            yield self
        finally:
            for owner, name, original in before:
                if original is None:
                    delattr(owner, name)
                else:
                    setattr(owner, name, original)

    def _socket(self, real: Any) -> Any:
        def init(own: Any, family: int = -1, type: int = -1, proto: int = -1, fileno: Any = None) -> None:
            if fileno is None:  # otherwise no descriptor is opened
                self.raise_fault("socket", ("", 0))
            real(own, family, type, proto, fileno)

        return init

    def _on_socket(self, call: str, real: Any) -> Any:
        def failing(own: Any, *arguments: Any) -> Any:
            self.raise_fault(call, own)
            return real(own, *arguments)

        return failing

    def _on_address(self, call: str, real: Any) -> Any:
        def failing(own: Any, address: Any) -> Any:
            self.raise_fault(call, address)
            return real(own, address)

        return failing

    def _recv(self, real: Any) -> Any:
        def recv(own: Any, size: int, *flags: int) -> Any:
            self.raise_fault("recv", own)
            return real(own, min(size, 1) if self.is_short("recv", own) else size, *flags)

        return recv

    def _send(self, real: Any) -> Any:
        def send(own: Any, data: Any, *flags: int) -> Any:
            self.raise_fault("send", own)
            return real(own, data[:1] if self.is_short("send", own) else data, *flags)

        return send

    def _read(self, real: Any) -> Any:
        def read(descriptor: int, size: int) -> Any:
            self.raise_fault("os.read", ("", 0))
            return real(descriptor, size)

        return read

    def _write(self, real: Any) -> Any:
        """A write to a socket counts as `send`; writes to files never fail."""

        def write(descriptor: int, data: Any) -> Any:
            if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
                return real(descriptor, data)
            own = socket.socket(fileno=descriptor)
            try:
                self.raise_fault("send", own)
                return real(descriptor, data[:1] if self.is_short("send", own) else data)
            finally:
                own.detach()

        return write

    def _connection(self, real: Any) -> Any:
        faults = self

        async def create_connection(
            loop: Any, factory: Any, host: Any = None, port: Any = None, **more: Any
        ) -> Any:
            if more.get("sock") is None:
                faults.raise_fault("create_connection", (host, port))
            return await real(loop, factory, host, port, **more)

        return create_connection


def break_transport(protocol: asyncio.Protocol, transport: Any, number: int) -> None:
    """Ends a connection with this error number, as the event loop does when the kernel reports it."""
    real = protocol.connection_lost
    error = OSError(number, os.strerror(number))

    def lose(_error: Exception | None) -> None:
        real(error)

    protocol.connection_lost = lose  # type: ignore[assignment,method-assign]
    transport.abort()


async def send_bytewise(send: Callable[[bytes], Any], data: bytes) -> None:
    """Sends byte by byte, each in a segment of its own as far as the kernel allows."""
    for index in range(len(data)):
        await send(data[index : index + 1])
        await asyncio.sleep(0)
