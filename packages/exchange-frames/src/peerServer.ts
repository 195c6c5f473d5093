import type { Metrics } from "@sardinestage/count-metrics";
import { describeFailure } from "@sardinestage/errors";
import { scheduleTimeout } from "@sardinestage/watch-loop";
import { timingSafeEqual } from "node:crypto";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { encodeFrame } from "./encodeFrame.js";
import type { Frame } from "./frame.js";
import type { FrameHandler } from "./frameHandler.js";
import { FrameKind } from "./frameKind.js";
import { FrameReader } from "./frameReader.js";

/** Largest first frame, in bytes. It has nothing but the shared key. */
const MAX_HELLO_BYTES = 1024;
/** Time in which a connection's first frame has to arrive, in milliseconds. */
const HELLO_TIMEOUT_MS = 5000;
/** Limit of connections without a first frame: more than all peers of an installation that connect at once. */
const MAX_UNKNOWN_CONNECTIONS = 128;

/** Limits, shared key and request handlers of a peer server. */
interface PeerServerOptions {
    /** Shared secret that the first frame of a connection must carry. */
    readonly peerKey: string;
    /** Largest frame accepted; a reply is dropped while this many bytes or more wait to be sent on the connection. */
    readonly maxFrameBytes: number;
    readonly maxConnections: number;
    readonly metrics: Metrics;
    readonly handlers: ReadonlyMap<FrameKind, FrameHandler>;
}

/**
 * Accepts connections from peers and answers their requests, both in length-prefixed frames. The first frame of a
 * connection must be a `Hello` with the shared key; otherwise the connection is closed.
 */
export class PeerServer {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    /** Connections whose first frame hasn't arrived, the oldest first. Each with what cancels its timeout. */
    private readonly unknown = new Map<Socket, () => void>();

    constructor(private readonly options: PeerServerOptions) {
        this.server = createServer(socket => this.acceptConnection(socket));
        this.server.maxConnections = options.maxConnections;
    }

    /** Starts to listen; rejects with the operating system's error, such as `EADDRINUSE`. */
    listen(address: string, port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, address, () => resolve());
        });
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private acceptConnection(socket: Socket): void {
        const reader = new FrameReader(this.options.maxFrameBytes, MAX_HELLO_BYTES);
        let isAuthenticated = false;
        this.sockets.add(socket);
        this.watchUnknown(socket);
        socket.setNoDelay(true);
        socket.on("close", () => {
            this.sockets.delete(socket);
            this.dropUnknown(socket);
        });
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            const frames = reader.readFrames(chunk);
            if (frames.err) {
                this.options.metrics.count("peer_frames_refused_total", frames.val.kind);
                socket.destroy();
                return;
            }
            for (const frame of frames.val) {
                if (isAuthenticated) {
                    void this.answerFrame(socket, frame);
                }
                else if (this.checkHello(frame)) {
                    isAuthenticated = true;
                    this.dropUnknown(socket);
                }
                else {
                    this.options.metrics.count("peer_frames_refused_total", "unauthenticated");
                    socket.destroy();
                    return;
                }
            }
        });
    }

    /** Closes a connection that doesn't say who it is, at its timeout or when there are too many of them. */
    private watchUnknown(socket: Socket): void {
        this.unknown.set(socket, scheduleTimeout(() => this.refuseUnknown(socket, "hello-missing"), HELLO_TIMEOUT_MS));
        if (this.unknown.size > MAX_UNKNOWN_CONNECTIONS) {
            const [oldest] = this.unknown.keys();
            this.refuseUnknown(oldest, "too-many-unknown");
        }
    }

    private refuseUnknown(socket: Socket, reason: string): void {
        this.options.metrics.count("peer_frames_refused_total", reason);
        this.dropUnknown(socket);
        socket.destroy();
    }

    private dropUnknown(socket: Socket): void {
        this.unknown.get(socket)?.();
        this.unknown.delete(socket);
    }

    private checkHello(frame: Frame): boolean {
        const key = (frame.body as { key?: unknown } | undefined)?.key;
        if (frame.kind !== FrameKind.Hello || typeof key !== "string") {
            return false;
        }
        const received = Buffer.from(key);
        const expected = Buffer.from(this.options.peerKey);
        return received.length === expected.length && timingSafeEqual(received, expected);
    }

    private async answerFrame(socket: Socket, frame: Frame): Promise<void> {
        const handler = this.options.handlers.get(frame.kind);
        if (handler === undefined) {
            this.options.metrics.count("peer_frames_refused_total", "unknown-kind");
            return;
        }
        let answer: Frame;
        try {
            answer = { kind: FrameKind.Reply, sequence: frame.sequence, body: await handler(frame.body) };
        }
        catch (failure) {
            this.options.metrics.count("peer_frames_refused_total", "handler-failed");
            answer = { kind: FrameKind.Failure, sequence: frame.sequence, body: describeFailure(failure) };
        }
        if (!socket.destroyed && socket.writableLength < this.options.maxFrameBytes) {
            const bytes = encodeFrame(answer);
            this.options.metrics.count("bytes_total", "peers-sent", bytes.length);
            socket.write(bytes);
        }
    }
}
