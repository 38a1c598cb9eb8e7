"""Rate and burst of customers, counted over all hosts together."""

from crocusshunt.limits._ledger import (
    LOAN_LIFETIME_S,
    HomeLedger,
    Loan,
    LoanRequest,
)
from crocusshunt.limits._wallet import Wallet

__all__ = ('LOAN_LIFETIME_S', 'HomeLedger', 'Loan', 'LoanRequest', 'Wallet')
