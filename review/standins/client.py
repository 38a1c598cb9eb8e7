"""Stand-in for clients: requests with ids of their own, kept channels."""

import asyncio
import itertools
import secrets
import socket

import aiohttp

from review.standins.backend import ATTEMPT, REMAINING, SEAL

_SLOW_WINDOW = 65_536


class Client:
    """Sends requests to front addresses; keeps channels open."""

    def __init__(self, record):
        self.record = record
        self._session = None
        self._tasks = set()
        self._numbers = itertools.count(1)

    async def start(self):
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=15),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    def send_soon(self, *args, **options):
        task = asyncio.create_task(self.send(*args, **options))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send(
        self, front, path, key='', method='GET', label='', budget_s=4.0
    ):
        """Send one attempt; note when it was sent and how it was answered."""
        name = f'{next(self._numbers):06d}{secrets.token_hex(5)}'
        headers = {
            'Host': 'jepu9.example',
            ATTEMPT: name,
            REMAINING: str(int(budget_s * 1000)),
        }
        if key:
            headers['Authorization'] = f'Token {key}'
        body = b'x' * 64 if method == 'POST' else None
        sent = self.record.note(
            'sent', id=name, front=front, path=path, key=key, label=label
        )
        status, is_sealed, detail = 0, False, ''
        try:
            async with (
                asyncio.timeout(budget_s),
                self._session.request(
                    method, f'http://{front}{path}', headers=headers, data=body
                ) as response,
            ):
                content = await response.read()
                status = response.status
                is_sealed = SEAL in response.headers
                detail = '' if is_sealed else content[:60].decode('latin-1')
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = type(error).__name__
        self.record.note(
            'answered',
            id=name,
            status=status,
            sealed=is_sealed,
            detail=detail,
            label=label,
            took=round(self.record.now - sent['t'], 4),
        )
        return status

    async def download(
        self, front, path, key, bytes_per_s, budget_s, method='GET'
    ):
        """Send one attempt and read the answer as fast as the client's link.

        Notes the bytes of the body that came, and how many were announced.
        """
        name = f'{next(self._numbers):06d}{secrets.token_hex(5)}'
        host, port = front.split(':')
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_WINDOW)
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=_SLOW_WINDOW
        )
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: jepu9.example\r\n'
            f'{ATTEMPT}: {name}\r\n{REMAINING}: {int(budget_s * 1000)}\r\n'
            f'Authorization: Token {key}\r\nContent-Length: 0\r\n\r\n'
        )
        self.record.note(
            'sent', id=name, front=front, path=path, key=key, label='download'
        )
        started = loop.time()
        status, announced, came, detail = 0, 0, 0, ''
        writer.write(head.encode())
        try:
            async with asyncio.timeout(budget_s):
                lines = (await reader.readuntil(b'\r\n\r\n')).decode().split(
                    '\r\n'
                )
                status = int(lines[0].split()[1])
                for line in lines[1:]:
                    field, _separator, text = line.partition(':')
                    if field.lower() == 'content-length':
                        announced = int(text)
                begun = loop.time()
                while came < announced:
                    part = await reader.read(_SLOW_WINDOW)
                    if not part:
                        detail = 'channel closed'
                        break
                    came += len(part)
                    due = begun + came / bytes_per_s
                    await asyncio.sleep(max(0, due - loop.time()))
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            detail = type(error).__name__
        finally:
            writer.close()
        self.record.note(
            'answered', id=name, status=status, label='download',
            announced=announced, came=came, detail=detail,
            took=round(loop.time() - started, 3),
        )

    async def pipeline(self, front, paths, key, budget_s):
        """Send several requests at once on one channel; note the answers."""
        host, port = front.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        names = []
        for path in paths:
            name = f'{next(self._numbers):06d}{secrets.token_hex(5)}'
            names.append(name)
            self.record.note(
                'sent', id=name, front=front, path=path, key=key,
                label='pipeline',
            )
            writer.write(
                f'GET {path} HTTP/1.1\r\nHost: jepu9.example\r\n'
                f'{ATTEMPT}: {name}\r\n'
                f'{REMAINING}: {int(budget_s * 1000)}\r\n'
                f'Authorization: Token {key}\r\n\r\n'.encode()
            )
        detail = ''
        try:
            async with asyncio.timeout(budget_s):
                for name in names:
                    head = await reader.readuntil(b'\r\n\r\n')
                    lines = head.decode().lower().split('\r\n')
                    fields = dict(
                        line.split(': ', 1) for line in lines[1:] if line
                    )
                    await reader.readexactly(int(fields['content-length']))
                    self.record.note(
                        'answered', id=name, label='pipeline',
                        status=int(lines[0].split()[1]),
                        echoed=fields.get(ATTEMPT.lower(), ''),
                    )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            detail = type(error).__name__
        finally:
            writer.close()
        self.record.note('channel ended', front=front, detail=detail)
