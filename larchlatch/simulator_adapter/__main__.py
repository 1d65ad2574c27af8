from larchlatch.simulator_adapter.loop import main

main()
