"""HTTP/1.1 over byte streams: parsing with size limits, serialization, a client and a server."""

from ._client import HttpClient, HttpResponse, NotSent, Unanswered
from ._messages import (
    HOP_BY_HOP,
    BodyPart,
    End,
    Framing,
    Headers,
    HttpError,
    Limits,
    RequestHead,
    ResponseHead,
    first_header,
    length_of,
)
from ._reader import RequestReader, ResponseReader
from ._service import HttpReply, HttpService
from ._writer import (
    CONTINUE,
    LAST_CHUNK,
    chunk,
    last_chunk,
    render_fields,
    request_bytes,
    response_bytes,
)

__all__ = [
    "CONTINUE",
    "HOP_BY_HOP",
    "LAST_CHUNK",
    "BodyPart",
    "End",
    "Framing",
    "Headers",
    "HttpClient",
    "HttpError",
    "HttpReply",
    "HttpResponse",
    "HttpService",
    "Limits",
    "NotSent",
    "RequestHead",
    "RequestReader",
    "ResponseHead",
    "ResponseReader",
    "Unanswered",
    "chunk",
    "first_header",
    "last_chunk",
    "length_of",
    "render_fields",
    "request_bytes",
    "response_bytes",
]
