"""System calls of sockets that fail for a while, as Linux documents it; a peer that ends or sends badly.

`SocketFaults` stands under asyncio: its selector event loop makes every call on sockets through
`socket.socket`. uvloop makes its own calls; there the faults are raised above it, where a connection is asked
for (`create_connection`), and as the error that a transport reports (`connection_lost`). Listeners make their
calls through `socket.socket` under both, and what the node writes itself counts as `send` under both.
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

Selects = Callable[[str, Any], bool]
"""Takes the call and its subject: the socket, or the address of `connect`, `bind` and `create_connection`."""


def port_of(address: Any) -> int:
    return int(address[1]) if isinstance(address, tuple) and len(address) > 1 else 0


def to_port(port: int) -> Selects:
    """Calls on the side of a connection that asked for it, and on addresses with this port."""

    def selects(_call: str, subject: Any) -> bool:
        if isinstance(subject, tuple):
            return port_of(subject) == port
        try:
            return port_of(subject.getpeername()) == port
        except OSError:
            return False

    return selects


def from_port(port: int) -> Selects:
    """Calls on a listener at this port, and on the connections that it accepted."""

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
    """Of `call`, on what `selects` names: raises `number`, so often, each time with this probability."""

    call: str
    number: int
    selects: Selects
    times: int
    share: float


class SocketFaults:
    """Faults in force, and how often each call has failed. The draws are seeded."""

    def __init__(self, seed: int = 1) -> None:
        self.faults: list[Fault] = []
        self.failed: Counter[str] = Counter()
        self.shortened: Counter[str] = Counter()
        self.short_reads = self.short_writes = False  # of one byte
        self.short_selects: Selects = lambda _call, _subject: True
        self._random = Random(seed)

    def add(
        self,
        call: str,
        number: int,
        selects: Selects = lambda _call, _subject: True,
        *,
        times: int = 1 << 30,
        share: float = 1.0,
    ) -> None:
        """`call` is socket, bind, listen, accept, connect, recv, send, os.read or create_connection."""
        self.faults.append(Fault(call, number, selects, times, share))

    def end(self) -> None:
        self.faults.clear()
        self.short_reads = self.short_writes = False

    def check(self, call: str, subject: Any) -> None:
        """Raises the OSError of the first fault that is in force for this call."""
        for fault in self.faults:
            if fault.call != call or not fault.times or not fault.selects(call, subject):
                continue
            if self._random.random() >= fault.share:
                continue
            fault.times -= 1
            self.failed[call] += 1
            raise OSError(fault.number, os.strerror(fault.number))

    def is_short(self, call: str, subject: Any) -> bool:
        wanted = self.short_reads if call == "recv" else self.short_writes
        if not wanted or not self.short_selects(call, subject):
            return False
        self.shortened[call] += 1
        return True

    @contextmanager
    def installed(self) -> Iterator[SocketFaults]:
        """Puts the faults under and above the event loops, until the end of the block."""
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
            if fileno is None:  # else the descriptor is there already
                self.check("socket", ("", 0))
            real(own, family, type, proto, fileno)

        return init

    def _on_socket(self, call: str, real: Any) -> Any:
        def failing(own: Any, *arguments: Any) -> Any:
            self.check(call, own)
            return real(own, *arguments)

        return failing

    def _on_address(self, call: str, real: Any) -> Any:
        def failing(own: Any, address: Any) -> Any:
            self.check(call, address)
            return real(own, address)

        return failing

    def _recv(self, real: Any) -> Any:
        def recv(own: Any, size: int, *flags: int) -> Any:
            self.check("recv", own)
            return real(own, min(size, 1) if self.is_short("recv", own) else size, *flags)

        return recv

    def _send(self, real: Any) -> Any:
        def send(own: Any, data: Any, *flags: int) -> Any:
            self.check("send", own)
            return real(own, data[:1] if self.is_short("send", own) else data, *flags)

        return send

    def _read(self, real: Any) -> Any:
        def read(descriptor: int, size: int) -> Any:
            self.check("os.read", ("", 0))
            return real(descriptor, size)

        return read

    def _write(self, real: Any) -> Any:
        """To a socket it is a send; files are left alone."""

        def write(descriptor: int, data: Any) -> Any:
            if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
                return real(descriptor, data)
            own = socket.socket(fileno=descriptor)
            try:
                self.check("send", own)
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
                faults.check("create_connection", (host, port))
            return await real(loop, factory, host, port, **more)

        return create_connection


def break_transport(protocol: asyncio.Protocol, transport: Any, number: int) -> None:
    """Ends a connection of an event loop with this error, as it reports one that the machine told of."""
    real = protocol.connection_lost
    error = OSError(number, os.strerror(number))

    def lose(_error: Exception | None) -> None:
        real(error)

    protocol.connection_lost = lose  # type: ignore[assignment,method-assign]
    transport.abort()


async def dribble(send: Callable[[bytes], Any], data: bytes) -> None:
    """Sends byte by byte, each in a segment of its own as far as the machine allows."""
    for at in range(len(data)):
        await send(data[at : at + 1])
        await asyncio.sleep(0)
