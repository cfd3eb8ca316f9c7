"""Exit statuses of the command line."""

from __future__ import annotations

from enum import IntEnum

__all__ = ["Exit"]


class Exit(IntEnum):
    """What a command ended with."""

    #: Done.
    OK = 0
    #: Rejected: the configuration or another operator's change stands against it.
    REJECTED = 1
    #: The input is not valid; nothing was sent.
    INVALID = 2
    #: The daemon or the log did not answer; nothing was changed.
    UNAVAILABLE = 3
    #: No answer came; the change may have been made.  Repeat it with the same `--change`.
    UNKNOWN = 4
    #: Accepted, but not in force everywhere in time.
    NOT_EVERYWHERE = 5
