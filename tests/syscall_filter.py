"""Starts a program under a system-call filter like that of the platform's whole-fleet days.

`python -m tests.syscall_filter COMMAND` installs the filter, then replaces itself by `/bin/sh -c COMMAND`.
The filter refuses the same system calls as on those days and allows all others. It needs no special rights
and ends with the process.
"""

from __future__ import annotations

import ctypes
import errno
import os
import platform
import struct
import sys

PR_SET_SECCOMP, SECCOMP_MODE_FILTER = 22, 2
PR_SET_NO_NEW_PRIVS = 38
RET_ALLOW, RET_ERRNO = 0x7FFF0000, 0x00050000
LOAD_WORD, JUMP_IF_EQUAL, JUMP_IF_ANY_BIT, RETURN = 0x20, 0x15, 0x45, 0x06  # classic BPF
NUMBER_OFFSET, FIRST_ARGUMENT_OFFSET = 0, 16  # in struct seccomp_data
CLONE_THREAD = 0x10000

CLONE = {"x86_64": 56, "aarch64": 220}
REFUSED: dict[str, dict[int, int]] = {
    "x86_64": {
        57: errno.ENOSYS,  # fork
        58: errno.ENOSYS,  # vfork
        435: errno.ENOSYS,  # clone3: its flags cannot be seen by a filter; threads fall back to clone
        425: errno.ENOSYS,  # io_uring_setup
        275: errno.EINVAL,  # splice
        40: errno.ENOSYS,  # sendfile
    },
    "aarch64": {
        435: errno.ENOSYS,  # clone3
        425: errno.ENOSYS,  # io_uring_setup
        76: errno.EINVAL,  # splice
        71: errno.ENOSYS,  # sendfile
    },
}


class Program(ctypes.Structure):
    """`struct sock_fprog`."""

    _fields_ = (("length", ctypes.c_ushort), ("instructions", ctypes.c_char_p))


def instruction(code: int, if_true: int, if_false: int, value: int) -> bytes:
    """Encodes a `struct sock_filter`; jumps are counted from the next instruction."""
    return struct.pack("=HBBI", code, if_true, if_false, value)


def assemble(machine: str) -> bytes:
    """Returns the filter's instructions: refuses the listed calls, then any clone that makes no thread."""
    lines = [instruction(LOAD_WORD, 0, 0, NUMBER_OFFSET)]
    for number, error in REFUSED[machine].items():
        lines.append(instruction(JUMP_IF_EQUAL, 0, 1, number))
        lines.append(instruction(RETURN, 0, 0, RET_ERRNO | error))
    lines.append(instruction(JUMP_IF_EQUAL, 0, 3, CLONE[machine]))
    lines.append(instruction(LOAD_WORD, 0, 0, FIRST_ARGUMENT_OFFSET))
    lines.append(instruction(JUMP_IF_ANY_BIT, 1, 0, CLONE_THREAD))
    lines.append(instruction(RETURN, 0, 0, RET_ERRNO | errno.ENOSYS))
    lines.append(instruction(RETURN, 0, 0, RET_ALLOW))
    return b"".join(lines)


def install(instructions: bytes) -> None:
    """Installs the filter in this process. Raises OSError."""
    libc = ctypes.CDLL(None, use_errno=True)
    program = Program(len(instructions) // 8, instructions)
    for arguments in (
        (PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0),
        (PR_SET_SECCOMP, SECCOMP_MODE_FILTER, ctypes.byref(program), 0, 0),
    ):
        if libc.prctl(*arguments) != 0:
            raise OSError(ctypes.get_errno(), "the filter could not be installed")


if __name__ == "__main__":
    install(assemble(platform.machine()))
    os.execv("/bin/sh", ["/bin/sh", "-c", sys.argv[1]])
