r"""Prints the deployment's configuration, for `savorybendctl config submit`.

python -m examples.kitakaze.configuration keys.json | savorybendctl \
        config submit -
"""

from examples import deployments
from examples.kitakaze import deployment

if __name__ == "__main__":
    deployments.print_configuration(deployment.DEPLOYMENT, __doc__)
