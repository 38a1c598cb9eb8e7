"""Reads and changes the tables that steer traffic.

Usage:
  crocusctl [options] validate DIR
  crocusctl [options] plan DIR
  crocusctl [options] apply DIR --reason=TEXT
  crocusctl [options] export DIR
  crocusctl [options] get [TABLE [NAME]]
  crocusctl [options] edit TABLE NAME ASSIGNMENT... --reason=TEXT
  crocusctl [options] remove TABLE NAME --reason=TEXT
  crocusctl [options] history
  crocusctl [options] audit
  crocusctl [options] audit export FILE
  crocusctl [options] audit verify FILE
  crocusctl [options] key grant NAME CUSTOMER --reason=TEXT
  crocusctl [options] key withdraw NAME --reason=TEXT
  crocusctl [options] key list
  crocusctl [options] operator create NAME
  crocusctl [options] operator grant NAME ROLE --reason=TEXT
  crocusctl [options] operator withdraw NAME --reason=TEXT
  crocusctl [options] drain SERVER --reason=TEXT
  crocusctl [options] undrain SERVER --reason=TEXT
  crocusctl [options] drain (pool|host|failure_domain|region) TARGET \
--reason=TEXT
  crocusctl [options] undrain (pool|host|failure_domain|region) TARGET \
--reason=TEXT
  crocusctl [options] shift create NAME ASSIGNMENT... --reason=TEXT
  crocusctl [options] shift (start|pause|resume|reverse|finish) NAME \
--reason=TEXT
  crocusctl [options] shift list
  crocusctl [options] status
  crocusctl [options] check (settings|configuration) FILE
  crocusctl [options] explain REQUEST_ID (--log=FILE)...
  crocusctl [options] top (--log=FILE)...
  crocusctl [options] report (--log=FILE)... --out=PAGE
  crocusctl --help

Options:
  --api=URL           Operators' interface [default: http://127.0.0.1:8700].
  --key=FILE          File with the operator's key [default: operator.key].
  --json              Write the outcome as one line of JSON.
  --yes               Do not ask before a dangerous change.
  --reason=TEXT       Reason of the change; kept in the audit trail.
  --change-id=ID      Repeat the change with this id; it is applied only once.
  --from=REVISION     Refuse if the tables changed after this revision.
  --secret-file=FILE  Holds the secret of a granted key; created if missing;
                      NAME.key if not given.
  --override          Drain although the remaining servers lack the capacity.
  --head=DIGEST       Digest that the audit trail's last record must have.
  --log=FILE          Log of a gateway; several may be given.
  --tables=DIR        Tables with the customers' rates, to tell which refused
                      requests were within the rate.
  --count=N           How many times to show, once a second [default: 1].
  --out=PAGE          HTML file to write.
  --help              Show this text.

An ASSIGNMENT is FIELD=VALUE; a list is separated by commas. A ROLE is read,
operate or administer.

Exit status: 0 done; 1 refused; 2 wrong input; 3 outcome unknown: repeat with
the --change-id and --from that were shown; 4 dangerous and not confirmed.
"""

import asyncio
import sys

from docopt import docopt

from crocusshunt.ctl import run_command


def main() -> None:
    """Run one command and exit with its status."""
    arguments = docopt(__doc__ or '')
    sys.exit(asyncio.run(run_command(arguments)))
