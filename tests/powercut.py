"""A simulated disk that loses random parts of unsynced writes, or applies them in another order."""

from __future__ import annotations

from random import Random


class PowerCut(Exception):
    """The power was cut during an operation."""


class PowerCutDisk:
    """A `Disk` that counts its operations and cuts the power at step `cut_at`."""

    def __init__(self, chance: Random, cut_at: int = 1 << 60) -> None:
        self.chance, self.cut_at = chance, cut_at
        self.steps = 0
        self.durable_names: dict[str, int] = {}  # name -> number of the file, as synced
        self.cached_names: dict[str, int] = {}  # name -> number of the file, as programs see it
        self.files: dict[int, tuple[bytes, bytes]] = {}  # durable content and cached content
        self.unsynced_changes: list[tuple[str, str, int]] = []  # changes of the folder
        self.file_count = 0
        self.full = self.read_only = False

    def step(self) -> None:
        """Counts a step; raises `PowerCut` at step `cut_at`, and OSError on a read-only disk."""
        self.steps += 1
        if self.steps >= self.cut_at:
            raise PowerCut
        if self.read_only:
            raise OSError(30, "Read-only file system")

    def names(self) -> list[str]:
        return sorted(self.cached_names)

    def read(self, name: str) -> bytes:
        if name not in self.cached_names:
            raise FileNotFoundError(2, "No such file or directory")
        return self.files[self.cached_names[name]][1]

    def write(self, name: str, data: bytes) -> None:
        """Writes a new file to the cache, partially on a full disk or at a power cut."""
        self.file_count += 1
        try:
            self.step()
        except PowerCut:
            data = data[: self.chance.randrange(len(data) + 1)]  # partial write
            raise
        finally:
            if not self.read_only:
                self.files[self.file_count] = b"", data[: len(data) // 2] if self.full else data
                self.cached_names[name] = self.file_count
                self.unsynced_changes.append(("set", name, self.file_count))
        if self.full:
            raise OSError(28, "No space left on device")

    def write_synced(self, name: str, data: bytes) -> None:
        """Same order as `durable_file.write_synced`, which tests/test_state_save_crashes.py checks."""
        self.write(name, data)
        self.sync(name)

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        self.step()
        number = self.cached_names[name]
        self.files[number] = self.files[number][1], self.files[number][1]

    def rename(self, old: str, new: str) -> None:
        self.step()
        number = self.cached_names.pop(old)
        self.cached_names[new] = number
        self.unsynced_changes += [("set", new, number), ("drop", old, number)]

    def remove(self, name: str) -> None:
        self.step()
        number = self.cached_names.pop(name, None)
        if number is not None:
            self.unsynced_changes.append(("drop", name, number))

    def sync_folder(self) -> None:
        self.step()
        self.durable_names = dict(self.cached_names)
        self.unsynced_changes.clear()

    def lock(self, name: str) -> bool:
        return True

    def unlock(self) -> None:
        return None

    def restart(self, cut_at: int = 1 << 60) -> PowerCutDisk:
        """Returns the disk after a power cut, with a random subset of the unsynced changes."""
        chance = self.chance
        restarted = PowerCutDisk(chance, cut_at)
        applied = [change for change in self.unsynced_changes if chance.random() < 0.5]
        if chance.random() < 0.3:
            chance.shuffle(applied)
        names = dict(self.durable_names)
        for action, name, number in applied:
            if action == "set":
                names[name] = number
            elif names.get(name) == number:
                del names[name]
        for number, (old, new) in self.files.items():
            data = old
            if old != new:
                kept = chance.randrange(len(new) + 1)
                data = chance.choice((old, new[:kept], new[:kept] + bytes(len(new) - kept), new))
            restarted.files[number] = data, data
        restarted.cached_names, restarted.durable_names = names, dict(names)
        restarted.file_count = self.file_count
        return restarted
