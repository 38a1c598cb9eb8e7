"""Messages between hosts about leases of parts of rates."""

from dataclasses import dataclass

from crocusshunt.fleet import (
    KeptRange,
    LeaseMessage,
    LeaseNotice,
    LeaseRecall,
    PartLeases,
    PartRequest,
)
from crocusshunt.front._borrowing import Borrowing
from crocusshunt.front._former_leases import FormerLeases
from crocusshunt.front._lending import Lending
from crocusshunt.front._outbox import Outbox


@dataclass(frozen=True, slots=True)
class LeaseMessages:
    """Sends and handles what hosts tell each other of leases."""

    lending: Lending
    borrowing: Borrowing
    former: FormerLeases
    outbox: Outbox

    def run_once(self) -> None:
        """Lend to keepers and ask for loans, once each heartbeat."""
        self.lending.send_leases()
        self.borrowing.send_requests()

    def handle(self, message: LeaseMessage) -> None:
        """Apply a message, and reply if it asks for that."""
        match message:
            case LeaseNotice():
                self.borrowing.handle_notice(message)
            case PartLeases():
                self.borrowing.handle_parts(message)
            case KeptRange():
                self.lending.handle_range(message)
            case PartRequest():
                self.lending.handle_request(message)
            case LeaseRecall():
                reply = self.former.drop_recalled(message)
                self.outbox.send_to(reply, message.name)
            case _:
                self.former.note_dropped(message)

    def recall_former(self) -> None:
        """Ask hosts to drop what a former start of this one lent to them."""
        for host in self.former.list_unasked():
            self.outbox.send_to(self.former.recall, host)
