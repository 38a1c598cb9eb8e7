"""What was sent, answered and run, with times in seconds from the start."""

import json
import time


class Record:
    def __init__(self):
        self.started_at = time.monotonic()
        self.lines = []

    @property
    def now(self):
        return time.monotonic() - self.started_at

    def note(self, event, **fields):
        line = {'t': round(self.now, 4), 'event': event, **fields}
        self.lines.append(line)
        return line

    def select(self, event):
        return [line for line in self.lines if line['event'] == event]

    def write(self, path):
        with open(path, 'w', encoding='utf-8') as file:
            for line in self.lines:
                file.write(json.dumps(line) + '\n')
