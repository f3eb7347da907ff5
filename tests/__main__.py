"""Runs all tests and closes with one line that counts them."""

import sys
import unittest
from pathlib import Path

from ashhoist import logs


def main() -> int:
    logs.configure(level="error")
    here = Path(__file__).parent
    suite = unittest.defaultTestLoader.discover(
        str(here), pattern="test_*.py", top_level_dir=str(here.parent)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
