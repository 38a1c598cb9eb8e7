"""Configuration snapshots in the object store."""

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


class SnapshotArchive:
    """Saves a snapshot of the configuration at intervals, and loads it.

    Only the last snapshot that was saved is kept.
    """

    def __init__(self, objects: ObjectStore, repository: Repository) -> None:
        """Use an object store and the change log.

        :param repository: change log against which snapshots are verified.
        """
        self._objects = objects
        self._repository = repository

    async def save_if_due(self, configuration: Configuration) -> None:
        """Save a snapshot if the revision is a multiple of 100."""
        if configuration.revision % _CHANGES_PER_SNAPSHOT:
            return
        saved = await self.save(configuration)
        if isinstance(saved, Err):
            log_event('snapshot not saved', error=saved.err_value.describe())

    async def save(
        self, configuration: Configuration
    ) -> Result[None, StoreError]:
        """Save a snapshot of a configuration, replacing the previous one."""
        body = encode_snapshot(configuration)
        return await self._objects.put_object(SNAPSHOT_NAME, body)

    async def load(
        self,
    ) -> Result[Configuration, StoreError | DamagedSnapshotError]:
        """Return the last snapshot, verified against the change log.

        The log must contain a change with the snapshot's revision and digest.
        """
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
            return Err(
                DamagedSnapshotError(
                    'no logged change has its revision and digest'
                )
            )
        return Ok(snapshot)
