"""How late the loop runs: what waits for it, answers at the door included, waits at least so long."""

from __future__ import annotations

import anyio

STEP_S = 0.05  # between two looks


class Lag:
    def __init__(self) -> None:
        self.most_s = 0.0  # since it was last told

    async def run(self) -> None:
        while True:
            due = anyio.current_time() + STEP_S
            await anyio.sleep(STEP_S)
            self.most_s = max(self.most_s, anyio.current_time() - due)

    def told_ms(self) -> int:
        most, self.most_s = self.most_s, 0.0
        return int(most * 1000)
