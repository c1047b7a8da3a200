"""A disk that loses what was not synced: cut, in another order, or not at all, as its chance has it."""

from __future__ import annotations

from random import Random


class Cut(Exception):
    """The power is gone."""


class PowerCut:
    """Counts what is asked of it and cuts the power at one of these. `after()` is the disk that comes
    back."""

    def __init__(self, chance: Random, cut_at: int = 1 << 60) -> None:
        self.chance, self.cut_at = chance, cut_at
        self.steps = 0
        self.safe: dict[str, int] = {}  # the folder as it is on the platter: names to files
        self.folder: dict[str, int] = {}  # and as programs see it
        self.files: dict[int, tuple[bytes, bytes]] = {}  # on the platter, and as seen
        self.waiting: list[tuple[str, str, int]] = []  # changes of the folder that are not synced
        self.count = 0
        self.full = self.read_only = False

    def step(self) -> None:
        self.steps += 1
        if self.steps >= self.cut_at:
            raise Cut
        if self.read_only:
            raise OSError(30, "Read-only file system")

    def names(self) -> list[str]:
        return sorted(self.folder)

    def read(self, name: str) -> bytes:
        if name not in self.folder:
            raise FileNotFoundError(2, "No such file or directory")
        return self.files[self.folder[name]][1]

    def write(self, name: str, data: bytes) -> None:
        self.count += 1
        try:
            self.step()
        except Cut:
            data = data[: self.chance.randrange(len(data) + 1)]  # it was in the middle
            raise
        finally:
            if not self.read_only:
                self.files[self.count] = b"", data[: len(data) // 2] if self.full else data
                self.folder[name] = self.count
                self.waiting.append(("set", name, self.count))
        if self.full:
            raise OSError(28, "No space left on device")

    def write_synced(self, name: str, data: bytes) -> None:
        """In the order of `durable_file.write_synced`, which tests/test_state_save_crashes.py holds to it."""
        self.write(name, data)
        self.sync(name)

    def sync(self, name: str) -> None:
        self.step()
        number = self.folder[name]
        self.files[number] = self.files[number][1], self.files[number][1]

    def rename(self, old: str, new: str) -> None:
        self.step()
        number = self.folder.pop(old)
        self.folder[new] = number
        self.waiting += [("set", new, number), ("drop", old, number)]

    def remove(self, name: str) -> None:
        self.step()
        number = self.folder.pop(name, None)
        if number is not None:
            self.waiting.append(("drop", name, number))

    def sync_folder(self) -> None:
        self.step()
        self.safe = dict(self.folder)
        self.waiting.clear()

    def lock(self, name: str) -> bool:
        return True

    def unlock(self) -> None:
        return None

    def after(self, cut_at: int = 1 << 60) -> PowerCut:
        chance = self.chance
        back = PowerCut(chance, cut_at)
        left = [change for change in self.waiting if chance.random() < 0.5]
        if chance.random() < 0.3:
            chance.shuffle(left)
        folder = dict(self.safe)
        for what, name, number in left:
            if what == "set":
                folder[name] = number
            elif folder.get(name) == number:
                del folder[name]
        for number, (safe, seen) in self.files.items():
            data = safe
            if safe != seen:
                kept = chance.randrange(len(seen) + 1)
                data = chance.choice((safe, seen[:kept], seen[:kept] + bytes(len(seen) - kept), seen))
            back.files[number] = data, data
        back.folder, back.safe = folder, dict(folder)
        back.count = self.count
        return back
