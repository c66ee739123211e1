"""Starts the daemon on the platform from this source tree.

The platform runs this file, so Python imports the package beside it and not a
copy that an earlier build installed.
"""

import sys

from savorybend.platform import program

if __name__ == "__main__":
    sys.exit(program.main())
