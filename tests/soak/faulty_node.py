"""A node with faults that an earlier version had, for tests that a soak finds them.

The environment variable `PLANTED_FAULT` names the fault. The module runs in place of `python -m larchlatch`.
"""

from __future__ import annotations

import contextlib
import os
from types import SimpleNamespace
from typing import Any

import anyio

from larchlatch.cluster.driver import ClusterDriver
from larchlatch.cluster.quota.borrower import Borrower
from larchlatch.loadtest import fault_injecting_node
from larchlatch.node.admin_api import AdminApi

PLANTED_FAULT = "PLANTED_FAULT"


class EveryName:
    """Contains every name, as the names of a cluster file that has lost no member."""

    def __contains__(self, name: str) -> bool:
        return True


original_renewals = Borrower._renewals


def renewals_of_any_lender(borrower: Borrower, *args: Any) -> Any:
    settings = borrower.settings
    borrower.settings = SimpleNamespace(loan_terms=settings.loan_terms, names=EveryName())  # type: ignore[assignment]
    try:
        return original_renewals(borrower, *args)
    finally:
        borrower.settings = settings


def send_to_members_only(driver: ClusterDriver, datagrams: list[Any]) -> None:
    for datagram in datagrams:
        driver._socket.send(datagram.data, driver.nodes[datagram.recipient].address)


def without_barrier(*_: object) -> contextlib.AbstractContextManager[None]:
    return contextlib.nullcontext()


async def accept_without_barrier(admin_api: AdminApi, listener: Any, tasks: Any) -> None:
    while True:
        sock = await listener.accept()
        sock.getpeername()  # raises an error for a connection that was reset before it was accepted
        tasks.start_soon(admin_api._serve, sock, anyio.CancelScope())
        await anyio.lowlevel.checkpoint()


def plant_reset_of_an_admin_caller() -> None:
    """The fault of review/1: a caller that resets its connection to the admin API ends the node."""
    AdminApi._accept = accept_without_barrier  # type: ignore[assignment, method-assign]


def plant_loan_of_a_removed_member() -> None:
    """The fault of review/2: a node that renews a loan of a member that its file no longer has ends."""
    Borrower._renewals = renewals_of_any_lender  # type: ignore[assignment, method-assign]
    ClusterDriver._send = send_to_members_only  # type: ignore[assignment, method-assign]
    ClusterDriver._fault_barrier = without_barrier  # type: ignore[assignment, method-assign]


FAULTS = {
    "reset of an admin caller": plant_reset_of_an_admin_caller,
    "loan of a removed member": plant_loan_of_a_removed_member,
}

if __name__ == "__main__":
    FAULTS[os.environ[PLANTED_FAULT]]()
    fault_injecting_node.main()
