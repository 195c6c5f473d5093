import { ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import { scheduleTimeout } from "@sardinestage/watch-loop";
import { createConnection } from "node:net";
import type { Socket } from "node:net";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import { encodeFrame } from "./encodeFrame.js";
import { FrameKind } from "./frameKind.js";
import { FrameReader } from "./frameReader.js";

const { Err, Ok } = tsResults;

/** Address of a peer and limits of the connection to it. */
interface PeerClientOptions {
    readonly address: string;
    readonly port: number;
    /** Shared secret of the installation; the first frame of a connection carries it. */
    readonly peerKey: string;
    readonly maxFrameBytes: number;
}

/** Settles one pending request with its reply or its error. */
type Settle = (result: Result<unknown, StageError>) => void;

/**
 * Sends requests to one peer over one connection, which is opened on demand.
 * When a reply times out, the connection counts as broken: all its pending requests fail, and the next request opens a
 * new connection.
 */
export class PeerClient {
    private socket: Socket | undefined;
    private sequence = 0;
    /** Pending requests by sequence number. */
    private readonly waiting = new Map<number, Settle>();

    constructor(private readonly options: PeerClientOptions) {}

    /**
     * Sends a request and waits for its reply.
     *
     * @param kind Kind of the request.
     * @param body A value that CBOR can encode.
     * @param timeoutMs Timeout of the reply, in milliseconds; when it expires the connection is closed.
     * @returns The reply's body; `PeerRefusedConnection` when the connection was refused, by the machine or by a cut; `FrameTooLarge` or
     *     `FrameInvalid` when the peer sends a malformed frame; `PeerUnreachable` on any other failure.
     */
    request(kind: FrameKind, body: unknown, timeoutMs: number): Promise<Result<unknown, StageError>> {
        const socket = this.socket ?? this.openSocket();
        const sequence = ++this.sequence;
        return new Promise(resolve => {
            const handleTimeout = () =>
                this.dropSocket(socket, createUnreachableError(this.options, "no reply within the timeout"));
            const cancelTimeout = scheduleTimeout(handleTimeout, timeoutMs);
            this.waiting.set(sequence, result => {
                cancelTimeout();
                resolve(result);
            });
            socket.write(encodeFrame({ kind, sequence, body }));
        });
    }

    /** Closes the connection; pending requests fail with `PeerUnreachable`. */
    close(): void {
        if (this.socket !== undefined) {
            this.dropSocket(this.socket, createUnreachableError(this.options, "this process closed the connection"));
        }
    }

    private openSocket(): Socket {
        const { address, port, peerKey, maxFrameBytes } = this.options;
        const socket = createConnection({ host: address, port, noDelay: true });
        const reader = new FrameReader(maxFrameBytes);
        this.socket = socket;
        socket.write(encodeFrame({ kind: FrameKind.Hello, sequence: 0, body: { key: peerKey } }));
        socket.on("data", chunk => this.handleReplies(socket, reader, chunk));
        socket.on("error", failure => {
            const isRefused = (failure as NodeJS.ErrnoException).code === "ECONNREFUSED";
            this.dropSocket(
                socket,
                isRefused ? createRefusedError(this.options) : createUnreachableError(this.options, failure.message),
            );
        });
        socket.on(
            "close",
            () => this.dropSocket(socket, createUnreachableError(this.options, "the peer closed the connection")),
        );
        return socket;
    }

    private handleReplies(socket: Socket, reader: FrameReader, chunk: Buffer): void {
        const frames = reader.readFrames(chunk);
        if (frames.err) {
            this.dropSocket(socket, frames.val);
            return;
        }
        for (const frame of frames.val) {
            const settle = this.waiting.get(frame.sequence);
            this.waiting.delete(frame.sequence);
            const isFailure = frame.kind === FrameKind.Failure;
            settle?.(isFailure ? Err(createUnreachableError(this.options, String(frame.body))) : Ok(frame.body));
        }
    }

    private dropSocket(socket: Socket, reason: StageError): void {
        socket.destroy();
        if (this.socket !== socket) {
            return;
        }
        this.socket = undefined;
        const waiting = [...this.waiting.values()];
        this.waiting.clear();
        for (const settle of waiting) {
            settle(Err(reason));
        }
    }
}

function createRefusedError(options: PeerClientOptions): StageError {
    return new StageError(
        ErrorKind.PeerRefusedConnection,
        `Peer ${options.address}:${options.port} refused the connection.`,
        "Check that the peer's process runs and listens at this address.",
    );
}

function createUnreachableError(options: PeerClientOptions, detail: string): StageError {
    return new StageError(
        ErrorKind.PeerUnreachable,
        `The request to peer ${options.address}:${options.port} failed: ${detail}.`,
        "Check the network between the two VMs.",
        RunEffect.MayHaveRun,
    );
}
