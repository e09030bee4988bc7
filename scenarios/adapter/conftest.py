"""Puts the directories of ``main.py`` and of these tests on the import path.

The tests are not in that directory because pytest would import it as a module
``platform``, which shadows the one of the standard library.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2] / "platform"))
sys.path.insert(0, str(Path(__file__).parent))
