r"""Prints the deployment's configuration, for `savorybendctl config submit`.

python -m examples.directorate.configuration keys.json | savorybendctl \
        config submit -
"""

import argparse
import json
import pathlib

from examples import deployments
from examples.directorate import deployment


def main() -> None:
    """Prints the configuration as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "keys",
        type=pathlib.Path,
        help="JSON: each client account's salt and hash from 'key create'",
    )
    keys = json.loads(parser.parse_args().keys.read_text())
    print(deployments.describe(deployment.DEPLOYMENT, keys).to_json())


if __name__ == "__main__":
    main()
