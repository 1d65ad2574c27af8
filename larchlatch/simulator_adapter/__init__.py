"""The adapter that plays nodes on the simulator's wire; it decides nothing."""
