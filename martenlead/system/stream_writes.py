"""Writes to a stream of anyio that outlive a moment in which the machine has no memory for them.

Linux documents ENOBUFS and ENOMEM for send(2), and neither says anything of the connection. An
event loop ends it all the same, and with it goes the response that is being written.
`sender.Sender` does the same for transports.
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
    """Writes all of it, as the only writer of the stream. Raises as `SocketStream.send` does.

    It goes to the machine itself first, again after a pause where the machine has no memory for it.
    What the peer does not take yet is left to the event loop.
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
