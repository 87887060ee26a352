"""Response checks: what counts as a valid HTTP response of an upstream.

Both interfaces use these checks; what they refuse is an ``aiohttp`` error like
any other broken response, and the connection isn't used again.
"""

import aiohttp

#: Statuses of final responses, from and up to.
FINAL_STATUSES = range(200, 600)
#: Statuses of interim responses. 101 is none: no request asks for an upgrade.
INTERIM_STATUSES = (100, *range(102, 200))


class InvalidResponseError(aiohttp.ClientError):
    """An upstream sent what is no valid response to its request."""


def check_status(status: int) -> None:
    """Raise ``InvalidResponseError`` for a status that no response has.

    aiohttp accepts all numbers of up to three digits.
    """
    if status not in FINAL_STATUSES and status not in INTERIM_STATUSES:
        raise InvalidResponseError(f"status {status:03}")


class ResponseEnd:
    """Tells whether a response that ended is whole.

    A body without a length ends with its connection. That is no end if the
    connection was reset, which aiohttp takes for one, or if the request had
    not been sent in full. To be made before the body is read, as the response
    drops its connection at the end of it. ``upload`` tracks the request.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        *,
        upload: aiohttp.UploadTracker,
    ) -> None:
        self._protocol = response.connection and response.connection.protocol
        self._upload = upload
        self._has_length = (
            "Content-Length" in response.headers
            or "Transfer-Encoding" in response.headers
        )

    def check(self) -> None:
        """Raise ``InvalidResponseError`` if the body was broken off."""
        if self._has_length:
            return
        sent = self._upload.upload_complete
        if not sent.done() or sent.exception() is not None:
            raise InvalidResponseError(
                "a body without a length ended before its request was sent"
            )
        if self._protocol is None:
            return
        if isinstance(self._protocol.exception(), aiohttp.ClientOSError):
            raise InvalidResponseError(
                "connection reset in a body without a length"
            )
