"""Answers the simulator's batches: reads one line of events, writes one line of replies."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import msgspec

from martenlead.simulator_adapter import messages
from martenlead.simulator_adapter.dispatcher import SimulatedDispatcher
from martenlead.simulator_adapter.messages import Batch, EventFields, Panic, Reply
from martenlead.simulator_adapter.settings import SettingsError, seconds_to_ns

# Takes the dispatcher's number, its hello event, the time in ns and the list for its replies.
DispatcherFactory = Callable[[int, EventFields, int, list[Reply]], SimulatedDispatcher]


class BatchLoop:
    """All instances, and the state of the batch that is being handled."""

    def __init__(self, create: DispatcherFactory) -> None:
        self._create = create
        self._dispatchers: dict[int, SimulatedDispatcher] = {}
        self._notified: dict[int, None] = {}  # instances with an event in this batch, in order
        self._replies: list[Reply] = []
        self.refusal = ""  # error text, if the settings of an instance are unusable

    def run_batch(self, events: list[EventFields], now_ns: int) -> list[Reply]:
        """Handles all events of a batch, the others too if one fails."""
        replies: list[Reply] = []
        self._replies, self._notified = replies, {}
        for event in events:
            try:
                self._handle(event, now_ns)
            except Exception as error:
                self._panic(event.get("dispatcher"), error)
        for number in self._notified:
            try:
                self._dispatchers[number].advance_timers(now_ns)
            except Exception as error:
                self._panic(number, error)
        return replies

    def _handle(self, event: EventFields, now_ns: int) -> None:
        number: Any = event.get("dispatcher")  # unchecked, of any type
        message = event.get("msg")
        if message == messages.EXIT:
            self._dispatchers.pop(number, None)
            self._notified.pop(number, None)
            return
        if message == messages.HELLO:
            self._begin(number, event, now_ns)
        if number in self._dispatchers:
            self._notified[number] = None
            dispatcher = self._dispatchers[number]
            dispatcher.replies = self._replies
            dispatcher.handle_event(event, now_ns)

    def _begin(self, number: int, hello: EventFields, now_ns: int) -> None:
        try:
            self._dispatchers[number] = self._create(number, hello, now_ns, self._replies)
        except SettingsError as error:
            self.refusal = f"settings that can't be used: {error}"
            self._replies.append(Panic(number, self.refusal))

    def _panic(self, number: object, error: Exception) -> None:
        self._replies.append(Panic(number, f"{type(error).__name__}: {error}"))


def serve(create: DispatcherFactory) -> None:
    """Answers batches until standard input ends or settings are unusable."""
    decode = msgspec.json.Decoder(Batch).decode
    encode = msgspec.json.Encoder().encode
    loop = BatchLoop(create)
    requests, responses = sys.stdin.buffer, sys.stdout.buffer
    for line in requests:
        try:
            batch = decode(line)
            now_ns = seconds_to_ns(batch.clock)
        except (msgspec.DecodeError, OverflowError) as error:
            sys.exit(f"not a batch: {error!r}")
        replies = loop.run_batch(batch.happened, now_ns)
        responses.write(encode(messages.ReplyBatch(replies)))
        responses.write(b"\n")
        responses.flush()
        if loop.refusal:
            sys.exit(loop.refusal)
