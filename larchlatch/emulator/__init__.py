"""The emulator: plays scenarios as a discrete-event simulation, with the real decisions of nodes."""
