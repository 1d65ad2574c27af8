"""Composes the leading fields of requests and responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypedDict

if TYPE_CHECKING:
    from larchlatch.cluster.protocol.messages import Request


class RequestHeader(TypedDict):
    """The leading fields of every request; `messages.Request` explains them."""

    sender: str
    incarnation: int
    request_id: int
    created_us: int
    recipient: str
    config_digest: int


class ResponseHeader(TypedDict):
    """The leading fields of every response; `messages.Response` explains them."""

    sender: str
    recipient: str
    incarnation: int
    request_id: int


class RequestOrigin(NamedTuple):
    """The request fields that are the same in all requests of a node at one time.

    Attributes:
        sender: the node's name.
        incarnation: the node's present incarnation.
        created_us: Unix time in microseconds at which the requests are created.

    """

    sender: str
    incarnation: int
    created_us: int

    def header(self, *, request_id: int, recipient: str, config_digest: int) -> RequestHeader:
        """Return the leading fields of a request to this recipient."""
        return {
            "sender": self.sender,
            "incarnation": self.incarnation,
            "request_id": request_id,
            "created_us": self.created_us,
            "recipient": recipient,
            "config_digest": config_digest,
        }


def response_header(sender: str, request: Request) -> ResponseHeader:
    """Return the leading fields of the response that `sender` gives to a request."""
    return {
        "sender": sender,
        "recipient": request.sender,
        "incarnation": request.incarnation,
        "request_id": request.request_id,
    }
