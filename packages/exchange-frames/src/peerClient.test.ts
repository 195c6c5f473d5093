import { afterEach, describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import { stopEventLoop } from "@sardinestage/emulate-platform";
import { ErrorKind } from "@sardinestage/errors";
import { createConnection, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { FrameKind } from "./frameKind.js";
import { PeerClient } from "./peerClient.js";
import { PeerServer } from "./peerServer.js";

const ADDRESS = "127.0.0.1";
const MAX_FRAME_BYTES = 4096;
const TIMEOUT_MS = 300;
/** As many connections without a key as a server keeps. */
const STRANGERS = 128;
const closers: (() => void)[] = [];

afterEach(() => {
    for (const close of closers.splice(0)) {
        close();
    }
});

async function startServer(port: number, metrics: Metrics, onRequest?: () => void): Promise<void> {
    const server = new PeerServer({
        peerKey: "secret",
        maxFrameBytes: MAX_FRAME_BYTES,
        maxConnections: 10,
        metrics,
        handlers: new Map([[FrameKind.ShareStatus, body => {
            onRequest?.();
            return { echoed: body };
        }]]),
    });
    closers.push(() => server.close());
    await server.listen(ADDRESS, port);
}

function createClient(port: number, peerKey: string): PeerClient {
    const client = new PeerClient({ address: ADDRESS, port, peerKey, maxFrameBytes: MAX_FRAME_BYTES });
    closers.push(() => client.close());
    return client;
}

/** Opens a connection that isn't a peer's. Returns what resolves once the server has closed it. */
async function openStranger(port: number, bytes: Buffer): Promise<Promise<void>[]> {
    const socket = createConnection({ host: ADDRESS, port });
    closers.push(() => socket.destroy());
    const closed = new Promise<void>(resolve => socket.on("error", () => undefined).on("close", () => resolve()));
    await new Promise<void>(resolve => socket.once("connect", resolve));
    socket.resume();
    socket.write(bytes);
    return [closed];
}

async function findFreePort(): Promise<number> {
    const server = createServer();
    await listenOnAnyPort(server);
    const port = (server.address() as AddressInfo).port;
    await new Promise(resolve => server.close(resolve));
    return port;
}

function listenOnAnyPort(server: Server): Promise<void> {
    return new Promise(resolve => server.listen(0, ADDRESS, () => resolve()));
}

describe("PeerClient", () => {
    describe("when the peer answers", () => {
        it("returns to each request its own reply", async () => {
            const port = await findFreePort();
            await startServer(port, new Metrics());
            const client = createClient(port, "secret");
            const replies = await Promise.all(
                [1, 2, 3].map(n => client.request(FrameKind.ShareStatus, { n }, TIMEOUT_MS)),
            );
            expect(replies.map(reply => reply.val)).toEqual([1, 2, 3].map(n => ({ echoed: { n } })));
        });
    });

    describe("when the client's event loop stalls for longer than the timeout", () => {
        it("still returns the reply that arrived during the stall", async () => {
            const port = await findFreePort();
            await startServer(port, new Metrics(), () => setImmediate(() => stopEventLoop(400)));
            const client = createClient(port, "secret");
            const reply = await client.request(FrameKind.ShareStatus, { n: 1 }, TIMEOUT_MS);
            expect(reply.val).toEqual({ echoed: { n: 1 } });
        });
    });

    describe("when the peer key is wrong", () => {
        it("fails the request and counts the refusal at the server", async () => {
            const port = await findFreePort();
            const metrics = new Metrics();
            await startServer(port, metrics);
            const reply = await createClient(port, "guess").request(FrameKind.ShareStatus, {}, TIMEOUT_MS);
            expect(reply.err).toBe(true);
            expect(await metrics.writeText()).toContain("peer_frames_refused_total{reason=\"unauthenticated\"} 1");
        });
    });

    describe("when strangers hold connections without a key", () => {
        it("refuses a first frame that is larger than a key before its bytes arrive", async () => {
            const port = await findFreePort();
            const metrics = new Metrics();
            await startServer(port, metrics);
            const [closed] = await openStranger(port, Buffer.from([0, 0, 8, 0]));
            await closed;
            expect(await metrics.writeText()).toContain("peer_frames_refused_total{reason=\"frame-too-large\"} 1");
        });

        it("closes the oldest of too many, and answers a peer", async () => {
            const port = await findFreePort();
            await startServer(port, new Metrics());
            const [oldest] = await openStranger(port, Buffer.alloc(0));
            for (let count = 0; count < STRANGERS; count++) {
                await openStranger(port, Buffer.alloc(0));
            }
            await oldest;
            const reply = await createClient(port, "secret").request(FrameKind.ShareStatus, {}, TIMEOUT_MS);
            expect(reply.ok).toBe(true);
        });
    });

    describe("when no process listens at the address", () => {
        it("reports a refused connection and not an unreachable peer", async () => {
            const reply = await createClient(await findFreePort(), "secret").request(
                FrameKind.ShareStatus,
                {},
                TIMEOUT_MS,
            );
            expect(reply.err && reply.val.kind).toBe(ErrorKind.PeerRefusedConnection);
        });
    });

    describe("when the peer doesn't reply", () => {
        it("fails the request at its timeout and opens a new connection for the next one", async () => {
            const sockets: Socket[] = [];
            const silent = createServer(socket => sockets.push(socket.resume()));
            await listenOnAnyPort(silent);
            closers.push(() => {
                sockets.forEach(socket => socket.destroy());
                silent.close();
            });
            const client = createClient((silent.address() as AddressInfo).port, "secret");
            const first = await client.request(FrameKind.ShareStatus, {}, 50);
            const second = await client.request(FrameKind.ShareStatus, {}, 50);
            expect([first, second].map(reply => reply.err && reply.val.kind)).toEqual([
                ErrorKind.PeerUnreachable,
                ErrorKind.PeerUnreachable,
            ]);
            expect(sockets.length).toBe(2);
        });
    });
});
