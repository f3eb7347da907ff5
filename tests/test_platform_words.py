"""Nothing outside ``platform/`` knows how the platform spells things."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGES = ROOT / "packages"
FOLDER = ROOT / "platform"
WORDS = (
    "X-Attempt-Id",
    "X-Deadline-Ms",
    "X-Server-Seal",
    "X-Model",
    "X-Token-Count",
    "X-Prompt-Prefix",
    "X-Expect-Instance",
    "X-Expect-Version",
    "X-Not-Executed",
    "X-Request-Urgency",
    "X-Length-Hint",
    "X-Weight-Versions",
    "/api/log-",
    "/api/order",
    "/api/report",
    "/api/ready",
    "keyed.",
    "ASHHOIST_SETTINGS",
    "node-name",
    "path-prefix",
    "max-attempts",
    "target-latency-ms",
    "adapter-slots",
    "at-hand",
    "loads-per-s",
)
LARGEST_SHARE = 1 / 6


def lines(folder: Path) -> int:
    return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))


class PlatformWordTests(unittest.TestCase):
    def test_the_product_has_no_word_of_the_platform(self) -> None:
        pattern = re.compile("|".join(map(re.escape, WORDS)), re.IGNORECASE)
        for path in PACKAGES.rglob("*.py"):
            with self.subTest(path.name):
                self.assertIsNone(pattern.search(path.read_text()))

    def test_the_product_does_not_import_the_folder(self) -> None:
        for path in PACKAGES.rglob("*.py"):
            with self.subTest(path.name):
                self.assertNotIn("ashhoist_platform", path.read_text())

    def test_the_folder_is_small(self) -> None:
        product = lines(PACKAGES / "ashhoist" / "src")
        self.assertLess(lines(FOLDER), product * LARGEST_SHARE)

    def test_the_folder_is_no_package(self) -> None:
        # It would shadow Python's own module ``platform``.
        self.assertFalse((FOLDER / "__init__.py").exists())


if __name__ == "__main__":
    unittest.main()
