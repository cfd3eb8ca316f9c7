"""The resource API for operators, with watches, and the announcements of targets."""

from ._app import ApiContext, api_application
from ._changes import ChangeService, NotProposed, Progress, Unsure
from ._openapi import openapi_document
from ._requests import read_announcement, read_change
from ._server import ApiServer

__all__ = [
    "ApiContext",
    "ApiServer",
    "ChangeService",
    "NotProposed",
    "Progress",
    "Unsure",
    "api_application",
    "openapi_document",
    "read_announcement",
    "read_change",
]
