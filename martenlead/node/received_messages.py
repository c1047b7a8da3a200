"""The messages that a client connection has received, until they are handled. No I/O."""

from __future__ import annotations

from collections import deque

from martenlead.node.client_protocol import FramingError, MessageDecoder

NS_PER_MS = 1_000_000
# Messages that a connection handles in one turn, and as they are read: within the limit of open
# requests, a client that cancels each of them does not exceed it
MESSAGES_PER_TURN = 64
# A connection that handles more messages as they are read in this time takes turns with others
QUOTA_WINDOW_NS = 50 * NS_PER_MS


class ReceivedMessages:
    """Decodes received bytes, and keeps the messages that wait for a later turn.

    `framing_error_text` says why the bytes behind the last message are invalid; it is empty if they
    are not.
    """

    def __init__(self) -> None:
        self.framing_error_text = ""
        self.decoder = MessageDecoder()
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._window_start_ns = 0  # of the quota
        self._taken_in_window = 0

    def __len__(self) -> int:
        """The number of messages that wait."""
        return len(self._waiting)

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun whose rest was not received."""
        return self.decoder.has_partial_message

    @property
    def kept_bytes(self) -> int:
        """The bytes of messages that are incomplete or wait."""
        return self.decoder.kept_bytes + self._waiting_bytes

    def feed(self, data: bytes) -> int:
        """Adds received bytes; returns the number of messages that were decoded.

        Decodes no more than one turn needs: a read may hold thousands of messages.
        """
        if self.framing_error_text:
            return 0
        limit = max(0, MESSAGES_PER_TURN - len(self._waiting))
        try:
            messages = self.decoder.feed(data, limit)
        except FramingError as error:
            messages, self.framing_error_text = error.complete_messages, error.detail
            self.decoder.discard()
        self._waiting.extend(messages)
        self._waiting_bytes += sum(map(len, messages))
        return len(messages)

    def take_at_once(self, now_ns: int) -> list[bytes]:
        """Removes and returns the messages that may be handled as they are read.

        A read with more messages than one turn takes turns from its first message on: many
        connections can have such reads at once.
        """
        if self.decoder.has_reached_limit:
            return []
        if now_ns - self._window_start_ns > QUOTA_WINDOW_NS:
            self._window_start_ns, self._taken_in_window = now_ns, 0
        messages = self._take(max(0, MESSAGES_PER_TURN - self._taken_in_window))
        self._taken_in_window += len(messages)
        return messages

    def take_turn(self) -> list[bytes]:
        """Removes and returns the messages of one turn."""
        return self._take(MESSAGES_PER_TURN)

    def _take(self, limit: int) -> list[bytes]:
        count = min(limit, len(self._waiting))
        messages = [self._waiting.popleft() for _ in range(count)]
        self._waiting_bytes -= sum(map(len, messages))
        if not self._waiting and self.decoder.has_reached_limit:
            self.feed(b"")
        return messages

    def discard(self) -> None:
        """Drops all messages, as their connection has ended or cannot be decoded."""
        self.decoder.discard()
        self._waiting.clear()
        self._waiting_bytes = 0
