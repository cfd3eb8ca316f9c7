"""The OpenAPI document, made from the resources themselves."""

from __future__ import annotations

from typing import Any, Final

import attrs

from acaciayard_resources import (
    KINDS,
    Choice,
    Digests,
    Flag,
    Names,
    Number,
    Reference,
    Shares,
    Text,
    rule_of,
)

__all__ = ["openapi_document"]

_PATHS: Final = {
    "/v1/resources": {"get": "List all resources with the version that they belong to"},
    "/v1/resources/{kind}/{name}": {
        "get": "Read a resource",
        "put": "Create or replace a resource; If-Match holds the revision that was read",
        "delete": "Delete a resource; If-Match holds the revision that was read",
    },
    "/v1/changes": {"post": "Apply many changes as one"},
    "/v1/changes/{change}": {"get": "How far a change is"},
    "/v1/changes/{change}/watch": {"get": "Follow a change, one JSON object a line"},
    "/v1/watch": {"get": "Follow accepted changes from a version on, one JSON object a line"},
    "/v1/history": {"get": "Recent accepted changes"},
    "/v1/members": {"get": "Daemons and their targets"},
    "/v1/status": {"get": "State and measures of this daemon"},
    "/v1/report": {"get": "Service levels, of this daemon or with scope=mesh of all"},
    "/v1/workspaces": {"get": "Workspaces with their caps, here or with scope=mesh at all daemons"},
    "/v1/workspaces/{name}": {"get": "One workspace, here or with scope=mesh at all daemons"},
    "/v1/suspects": {"get": "Requests that are suspected of ending the targets that run them"},
    "/v1/suspects/{fingerprint}": {"delete": "Clear a request, in the whole mesh"},
    "/v1/targets": {"post": "Announce a target on this host; repeat it every second"},
    "/v1/targets/{name}": {"delete": "Withdraw a target that has ended"},
}


def _schema(cls: type) -> dict[str, Any]:
    properties: dict[str, Any] = {}
    required = []
    for attribute in attrs.fields(cls):
        match rule_of(attribute):
            case Text(longest=longest):
                properties[attribute.name] = {"type": "string", "maxLength": longest}
            case Reference(kind=kind):
                properties[attribute.name] = {"type": "string", "description": f"a {kind}"}
            case Number(least, most, whole):
                kind = "integer" if whole else "number"
                properties[attribute.name] = {"type": kind, "minimum": least, "maximum": most}
            case Choice(words):
                properties[attribute.name] = {"type": "string", "enum": list(words)}
            case Flag():
                properties[attribute.name] = {"type": "boolean"}
            case Shares():
                properties[attribute.name] = {"type": "array", "items": {"type": "array"}}
            case Names() | Digests():
                properties[attribute.name] = {"type": "array", "items": {"type": "string"}}
        if attribute.default is attrs.NOTHING:
            required.append(attribute.name)
    return {"type": "object", "properties": properties, "required": required}


def openapi_document() -> dict[str, Any]:
    """The document that `/v1/openapi.json` serves."""
    paths = {
        path: {
            method: {"summary": summary, "responses": {"default": {"description": "JSON"}}}
            for method, summary in methods.items()
        }
        for path, methods in _PATHS.items()
    }
    return {
        "openapi": "3.1.0",
        "info": {"title": "acaciayard", "version": "1"},
        "paths": paths,
        "components": {"schemas": {kind: _schema(cls) for kind, cls in KINDS.items()}},
    }
