"""Run the command-line tool with ``python -m hickorywind.ui``."""

import sys

from hickorywind.ui import main

sys.exit(main())
