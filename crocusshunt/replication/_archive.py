"""Snapshots in the object store."""

from result import Err, Ok, Result

from crocusshunt.configuration import (
    Configuration,
    DamagedSnapshotError,
    Repository,
    decode_snapshot,
    encode_snapshot,
)
from crocusshunt.logs import log_event
from crocusshunt.store import ObjectStore, StoreError

SNAPSHOT_NAME = 'configuration/snapshot'
_CHANGES_PER_SNAPSHOT = 100


class Archive:
    """Writes snapshots now and then, and reads the newest."""

    def __init__(self, objects: ObjectStore, repository: Repository) -> None:
        """Use an object store and the log that vouches for snapshots."""
        self._objects = objects
        self._repository = repository

    async def save_if_due(self, held: Configuration) -> None:
        """Write a snapshot at each hundredth revision."""
        if held.revision % _CHANGES_PER_SNAPSHOT:
            return
        saved = await self.save(held)
        if isinstance(saved, Err):
            log_event('snapshot not saved', error=saved.err_value.describe())

    async def save(self, held: Configuration) -> Result[None, StoreError]:
        """Write a snapshot of a configuration."""
        body = encode_snapshot(held)
        return await self._objects.put_object(SNAPSHOT_NAME, body)

    async def load(
        self,
    ) -> Result[Configuration, StoreError | DamagedSnapshotError]:
        """Return the newest snapshot that the log vouches for."""
        archived = await self._objects.get_object(SNAPSHOT_NAME)
        if isinstance(archived, Err):
            return archived
        decoded = decode_snapshot(archived.ok_value or b'')
        if isinstance(decoded, Err):
            return decoded
        snapshot = decoded.ok_value
        logged = await self._repository.read_change(snapshot.revision)
        if isinstance(logged, Err):
            return logged
        change = logged.ok_value
        if change is None or change.digest != snapshot.digest:
            return Err(DamagedSnapshotError('it is not part of the log'))
        return Ok(snapshot)
