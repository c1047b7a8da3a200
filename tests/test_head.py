"""Heads of HTTP are put together in one module, which refuses what would make another head of them."""

from __future__ import annotations

import ast
from pathlib import Path

import anyio
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

import martenlead
from martenlead.cli.main import commands
from martenlead.events.client import Pool, SendProgress
from martenlead.events.head import (
    FRAMING_NAMES,
    LAST_CHUNK,
    HeadPart,
    InvalidHeadError,
    encode_authority,
    encode_chunk,
    encode_field_lines,
)
from martenlead.events.http import MessageLimits, Reader, request, response

LINE_END = "\r\n"
USAGE_ERROR = 2
# What reads heads, and the frames of another protocol
ALLOWED_MODULES = {"events/head.py", "events/response.py", "node/client_protocol.py"}
BYTES_THAT_SPLIT = st.text("ab:/? \t\r\n\0\x7fé", max_size=12).map(str.encode)
FIELDS = st.lists(st.tuples(BYTES_THAT_SPLIT, BYTES_THAT_SPLIT), max_size=3)
INVALID_FIELDS = {
    "a second field": ((b"x", b"1\r\ny: 2"), HeadPart.FIELD_VALUE),
    "a line feed": ((b"x", b"1\ny: 2"), HeadPart.FIELD_VALUE),
    "NUL": ((b"x", b"\0"), HeadPart.FIELD_VALUE),
    "an empty name": ((b"", b"1"), HeadPart.FIELD_NAME),
    "a name with a line end": ((b"x: 1\r\ny", b"2"), HeadPart.FIELD_NAME),
    "a name with a colon": ((b"x:", b"2"), HeadPart.FIELD_NAME),
    "a name with a space": ((b"x ", b"2"), HeadPart.FIELD_NAME),
    "a name in upper case": ((b"Content-Length", b"2"), HeadPart.FIELD_NAME),
    "a second length": ((b"content-length", b"2"), HeadPart.FIELD_NAME),
    "another framing": ((b"transfer-encoding", b"chunked"), HeadPart.FIELD_NAME),
    "a second host": ((b"host", b"w"), HeadPart.FIELD_NAME),
}
INVALID_REQUESTS = {
    "an empty method": ((b"", b"/", b"w"), HeadPart.METHOD),
    "a method with a space": ((b"GET /x", b"/", b"w"), HeadPart.METHOD),
    "an empty target": ((b"GET", b"", b"w"), HeadPart.TARGET),
    "a target with a space": ((b"GET", b"/ HTTP/1.1", b"w"), HeadPart.TARGET),
    "a target with a line end": ((b"GET", b"/\r\nx: y", b"w"), HeadPart.TARGET),
    "a host with a line end": ((b"GET", b"/", b"w\r\nx: y"), HeadPart.HOST),
    "a host with a path": ((b"GET", b"/", b"w/x"), HeadPart.HOST),
}


@pytest.mark.parametrize("case", INVALID_FIELDS)
def test_a_field_that_http_forbids_is_refused(case: str) -> None:
    """Guards against texts of peers that become fields or messages of their own."""
    field, part = INVALID_FIELDS[case]
    for encode in (encode_field_lines, lambda fields: response(200, fields)):
        with pytest.raises(InvalidHeadError) as caught:
            encode([(b"a", b"b"), field])
        assert caught.value.part is part


@pytest.mark.parametrize("case", INVALID_REQUESTS)
def test_a_request_line_that_http_forbids_is_refused(case: str) -> None:
    """Guards against names in a target or a host that begin another line."""
    (method, target, host), part = INVALID_REQUESTS[case]
    with pytest.raises(InvalidHeadError) as caught:
        request(method, target, host, [])
    assert caught.value.part is part


@pytest.mark.parametrize("status", [-1, 0, 99, 600, 2000])
def test_a_status_that_is_none_is_refused(status: int) -> None:
    with pytest.raises(InvalidHeadError) as caught:
        response(status, [])
    assert caught.value.part is HeadPart.STATUS


@given(BYTES_THAT_SPLIT, BYTES_THAT_SPLIT, FIELDS, st.binary(max_size=9))
def test_what_is_encoded_is_read_as_one_request_with_the_same_fields(
    target: bytes, host: bytes, fields: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Guards against a head that another reader would take for two messages, or for other fields."""
    try:
        data = request(b"POST", b"/" + target, host, fields, body)
    except InvalidHeadError:
        return
    reader = Reader(MessageLimits(), requests=True)
    (message,) = reader.feed(data)
    assert (message.method, message.target, message.body) == (b"POST", b"/" + target, body)
    others = [(name, value) for name, value in message.headers if name not in FRAMING_NAMES]
    assert others == [(name, value.strip(b" \t")) for name, value in fields]
    assert not reader.in_message


@given(st.lists(st.binary(max_size=5), max_size=5))
def test_a_body_in_chunks_ends_behind_its_last_part_alone(parts: list[bytes]) -> None:
    """Guards against an empty part that is written as the end of the body."""
    data = response(200, [], None) + b"".join(map(encode_chunk, parts)) + LAST_CHUNK
    (message,) = Reader(MessageLimits(), requests=False).feed(data)
    assert message.body == b"".join(parts)


def test_addresses_as_hosts() -> None:
    assert encode_authority("127.0.0.1", 80) == b"127.0.0.1:80"
    assert encode_authority("::1", 80) == b"[::1]:80"
    assert encode_authority("worker.example", 80) == b"worker.example:80"


@pytest.mark.anyio
async def test_a_request_that_cannot_be_encoded_counts_as_unwritten() -> None:
    """Guards against a non-idempotent request that ends as one that may have run, though no byte was sent."""
    accepted = anyio.Event()

    async def accept(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            accepted.set()
            await anyio.sleep_forever()

    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, accept)
            pool, progress = Pool("127.0.0.1", port), SendProgress()
            with pytest.raises(InvalidHeadError), anyio.fail_after(5):
                await pool.exchange(lambda: request(b"GET", b"/ /", b"w", []), progress)
            with anyio.fail_after(5):
                await accepted.wait()
            assert not progress.has_written
            assert pool.open_connections == 0
            group.cancel_scope.cancel()


def find_line_ends(source: str) -> list[int]:
    """Returns the lines of all literals with a line end of HTTP, but for docstrings."""
    tree = ast.parse(source)
    docstrings = {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }
    return [
        node.lineno
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and id(node) not in docstrings and has_line_end(node.value)
    ]


def has_line_end(value: object) -> bool:
    text = value.decode("latin-1") if isinstance(value, bytes) else value
    return isinstance(text, str) and LINE_END in text


def test_heads_are_put_together_in_one_module() -> None:
    """Guards against a second way to write a head, which would not check what it writes."""
    package = Path(martenlead.__file__).parent
    found = {
        f"{path.relative_to(package)}:{line}"
        for path in package.rglob("*.py")
        if str(path.relative_to(package)) not in ALLOWED_MODULES
        for line in find_line_ends(path.read_text())
    }
    assert found == set()


@pytest.mark.parametrize(
    "source",
    [
        'data = b"POST / HTTP/1.1\\r\\nhost: %b\\r\\n" % host',
        'data = f"x: {value}\\r\\n"',
        'data = b"\\r\\n".join(lines)',
        "data = '''\r\n'''.encode()".replace("\r\n", "\\r\\n"),
    ],
)
def test_the_search_finds_heads(source: str) -> None:
    assert find_line_ends(source) == [1]
    assert find_line_ends(f'"""A line ends with \\\\r\\\\n."""\n{source}') == [2]


@pytest.mark.parametrize(
    ("options", "reason"),
    [
        (["--set", "x\r\ny=1"], "lower-case letters"),
        (["--set", "Upper=1"], "lower-case letters"),
        (["--set", "x=1\r\ny: 2"], "control character"),
        (["--model", "m\nn"], "control character"),
        (["--host", "h\r\nx: y"], "a host"),
    ],
)
def test_the_call_command_refuses_what_it_cannot_send(options: list[str], reason: str) -> None:
    """Guards against a traceback, and against a request other than the one that the options name."""
    required = ["call", "--port", "1", "--offering", "t", "--model", "m"]
    result = CliRunner().invoke(commands, [*required, *options])
    assert result.exit_code == USAGE_ERROR
    assert reason in result.output


def test_the_status_command_tells_an_address_that_is_none() -> None:
    result = CliRunner().invoke(commands, ["status", "h\r\nx: y:1"])
    assert result.exit_code == 1
    assert "a host" in result.output
