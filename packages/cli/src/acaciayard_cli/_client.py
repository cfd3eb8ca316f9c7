"""Talks to the API of a daemon."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, Final

import httpx
from attrs import frozen

from acaciayard_resources import Configuration, Place, ResourceKey, Stored, decode_resource

__all__ = ["ApiAnswer", "ApiClient", "NoAnswer"]

_ANSWER_WITHIN: Final = 10.0
#: Seconds that a watch may be silent.
_SILENT_FOR: Final = 3600.0


@frozen
class ApiAnswer:
    """What the daemon said."""

    #: HTTP status.
    status: int
    #: The JSON value.
    body: Any

    @property
    def error(self) -> str:
        """Its error text, empty when there is none."""
        return str(self.body.get("error", "")) if isinstance(self.body, dict) else ""


@frozen
class NoAnswer:
    """The daemon did not answer."""

    #: Why.
    reason: str
    #: Whether the request may have been carried out.
    may_have_run: bool


class ApiClient:
    """The API at one address, such as `"http://127.0.0.1:7403"`."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = httpx.Client(base_url=url, timeout=_ANSWER_WITHIN, trust_env=False)

    def get(self, path: str, **params: str) -> ApiAnswer | NoAnswer:
        """Read something."""
        return self._request("GET", path, params=params)

    def post(self, path: str, body: Any) -> ApiAnswer | NoAnswer:
        """Send something."""
        return self._request("POST", path, json=body)

    def delete(self, path: str) -> ApiAnswer | NoAnswer:
        """Take something away."""
        return self._request("DELETE", path)

    def _request(self, method: str, path: str, **more: Any) -> ApiAnswer | NoAnswer:
        try:
            answer = self._client.request(method, path, **more)
            return ApiAnswer(answer.status_code, answer.json())
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return NoAnswer(f"no daemon answers at {self._url}: {error}", may_have_run=False)
        except (httpx.HTTPError, ValueError) as error:
            reason = f"the daemon at {self._url} gave no answer: {error or type(error).__name__}"
            return NoAnswer(reason, may_have_run=method != "GET")

    def lines(self, path: str, **params: str) -> Iterator[Any]:
        """The JSON values of a watch, one by one; an `ApiAnswer` if it is refused."""
        try:
            with self._client.stream(
                "GET", path, params=params, timeout=httpx.Timeout(5.0, read=_SILENT_FOR)
            ) as answer:
                if answer.status_code != 200:
                    answer.read()
                    yield ApiAnswer(answer.status_code, answer.json())
                    return
                for line in answer.iter_lines():
                    yield json.loads(line)
        except (httpx.HTTPError, ValueError) as error:
            yield NoAnswer(f"the watch broke off: {error}", may_have_run=False)

    def configuration(self) -> Configuration | ApiAnswer | NoAnswer:
        """The latest configuration that the daemon knows as accepted."""
        answer = self.get("/v1/resources")
        if isinstance(answer, NoAnswer) or answer.status != 200:
            return answer
        stored = {}
        for item in answer.body["resources"]:
            place = Place(source=self._url, path=item["kind"])
            resource = decode_resource(item["kind"], item["spec"], place=place)
            key = ResourceKey(item["kind"], item["name"])
            stored[key] = Stored(resource, item["revision"], item["author"], item["time"])
        return Configuration(version=int(answer.body["version"]), stored=stored)
