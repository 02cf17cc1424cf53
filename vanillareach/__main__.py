"""Entry point of ``python -m vanillareach``."""

import vanillareach.early_signals  # noqa: F401
from vanillareach.cli import main

main()
