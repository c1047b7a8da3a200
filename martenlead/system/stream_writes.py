"""Writes to anyio streams that survive a temporary shortage of kernel memory.

Linux documents ENOBUFS and ENOMEM for send(2), and neither means that the connection has failed. An
event loop closes it nevertheless, and the response that is being written is lost. `sender.Sender`
does the same for transports.
"""

from __future__ import annotations

import os

import anyio
import anyio.lowlevel
from anyio.abc import SocketAttribute, SocketStream

from martenlead.system.sender import RETRY_SECONDS, TEMPORARY_ERRORS
from martenlead.system.sockets import descriptor

CLOSED_DESCRIPTOR = -1


async def send_all(stream: SocketStream, data: bytes) -> None:
    """Writes all data, as the only writer of the stream. Raises as `SocketStream.send` does.

    Data is first written to the socket directly, and again after a pause if the kernel has no
    memory for it. Data that the peer does not accept yet is left to the event loop.
    """
    await anyio.lowlevel.checkpoint()
    own_socket = stream.extra(SocketAttribute.raw_socket, None)
    number = CLOSED_DESCRIPTOR if own_socket is None else descriptor(own_socket)
    while data and number != CLOSED_DESCRIPTOR:
        try:
            data = data[os.write(number, data) :]
        except BlockingIOError:
            break
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                raise anyio.BrokenResourceError from error
            await anyio.sleep(RETRY_SECONDS)
            number = descriptor(own_socket)  # the connection may have been closed meanwhile
    if data:
        await stream.send(data)
