"""`python -m limeridge.scale.lifted`: one instance, with the bound on tenants lifted in this process alone.

It serves to measure what a configuration beyond the bound would cost. A result that rests on it says so.
"""

from __future__ import annotations

import sys

from limeridge.__main__ import main
from limeridge.config import LIST, SETTINGS

LIFTED_BOUND = 1_000_000  # tenants

if __name__ == "__main__":
    SETTINGS["accounts"] = (LIST, 0, LIFTED_BOUND, False)
    sys.exit(main())
