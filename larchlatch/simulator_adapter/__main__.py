"""Entry point of `python -m larchlatch.simulator_adapter`."""

from larchlatch.simulator_adapter.main import main

main()
