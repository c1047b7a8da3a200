"""Usual clients of an edge, and the check that each is answered with what a worker made for its event."""

from __future__ import annotations

import asyncio

from peers_2 import HOST, Case, CouldNotRunError, http_event, read_http


class UsualClients:
    """Some clients, each with one connection and one event at a time."""

    def __init__(self, case: Case, port: int) -> None:
        self.case, self.port = case, port
        self.sent: set[str] = set()
        self.answered = 0
        self.wrong: list[str] = []  # answers with status 200 that are not what a worker made for the event
        self.unanswered: list[str] = []

    def data(self, event_id: str) -> bytes:
        """The data of an event, which the worker returns."""
        return f"event {event_id}: payment 1250 dollars".encode()

    async def run(self, clients: int, seconds: float, pause_s: float) -> None:
        """Sends events until the time is over; an event that is not answered ends its client."""
        async with asyncio.TaskGroup() as group:
            for number in range(clients):
                group.create_task(self.run_one(number, seconds, pause_s))
        if not self.answered:
            raise CouldNotRunError("no event was answered")

    async def run_one(self, number: int, seconds: float, pause_s: float) -> None:
        """Runs one client."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        begun, count, event_id = self.case.now(), 0, ""
        try:
            while self.case.now() < begun + seconds:
                event_id = f"{number}-{count}"
                count += 1
                self.sent.add(event_id)
                self.case.note("sent", id=event_id)
                writer.write(http_event(event_id, "eligibility-check", self.data(event_id), timeleftms=5000))
                (_, status, *_), headers, data = await asyncio.wait_for(read_http(reader), 10)
                answer = headers.get("ce-id")
                self.case.note("answered", id=event_id, status=status, answer=answer, data=data.decode())
                if status == "200":
                    self.check(event_id, answer, data)
                await asyncio.sleep(pause_s)
        except (TimeoutError, asyncio.IncompleteReadError, OSError) as error:
            self.unanswered.append(event_id)
            self.case.note("not answered", id=event_id, why=repr(error))
        writer.close()

    def check(self, event_id: str, answer: str | None, data: bytes) -> None:
        """Compares an answer with what the worker made for the event."""
        self.answered += 1
        if (answer, data) != (f"{event_id}.answer", self.data(event_id)):
            self.wrong.append(f"{event_id} got {answer} with {data.decode()!r}")
