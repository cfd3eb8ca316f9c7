"""A plain-text encoding of rollout orders and status for tests."""

from __future__ import annotations

from acaciayard_hosted import RolloutWords
from acaciayard_logservice import KeyedRecord
from acaciayard_rollouts import Phase, RolloutOrder, RolloutStatus

__all__ = ["STATUS", "Words"]

STATUS = "status"


class Words(RolloutWords):
    """Encodes orders as `service version seconds`, and a status as phase, order and version."""

    status_stream = STATUS

    def status_key(self, service: str) -> str:
        return service

    def read_order(self, record: KeyedRecord) -> RolloutOrder | None:
        service, version, seconds = record.value.decode().split()
        return RolloutOrder(service, version, float(seconds), record.offset)

    def write_status(self, status: RolloutStatus) -> bytes:
        return f"{int(status.phase)} {status.order} {status.version}".encode()

    def read_status(self, record: KeyedRecord) -> RolloutStatus | None:
        phase, order, version = record.value.decode().split()
        return RolloutStatus(record.key, version, Phase(int(phase)), int(order))
