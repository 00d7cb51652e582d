"""Exit codes and output of all commands.

The exit codes are stable, since scripts depend on them.
"""

import sys
from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNAVAILABLE: Final = 4

EXIT_CODES_HELP: Final = (
    'exit codes: 0 done, 1 refused or invalid, 2 wrong usage, '
    '3 conflict with another change, 4 store or gateway unavailable'
)


def print_message(text: str) -> None:
    """Write a message or progress to standard error."""
    sys.stderr.write(f'{text}\n')


def print_result(text: str) -> None:
    """Write a result to standard output."""
    sys.stdout.write(f'{text}\n')
