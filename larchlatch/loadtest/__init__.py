"""The days of the emulator on real sockets: nodes as processes, stand-in hosts and list, loopback only."""
