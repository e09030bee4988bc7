"""Makes the adapter importable, as it is where the platform starts it.

The tests lie outside the adapter's directory: the test runner would take that
directory for a module that shadows the standard library's.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2] / "platform"))
