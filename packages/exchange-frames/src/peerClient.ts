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

/** Where a peer listens and how it is spoken to. */
interface PeerClientOptions {
    readonly address: string;
    readonly port: number;
    readonly peerKey: string;
    readonly maxFrameBytes: number;
}

type Settle = (result: Result<unknown, StageError>) => void;

/**
 * Sends requests to one peer over one connection, opened when needed.
 * A reply that doesn't come in time is taken as a silent connection: the next request opens a new one.
 */
export class PeerClient {
    private socket: Socket | undefined;
    private sequence = 0;
    private readonly waiting = new Map<number, Settle>();

    constructor(private readonly options: PeerClientOptions) {}

    /**
     * Sends a request and waits for its reply.
     *
     * @param kind What is asked.
     * @param body A value that CBOR can carry.
     * @param timeoutMs How long the reply may take, in milliseconds; after that the connection is given up.
     * @returns The reply's body; or `PeerRefusedConnection` when nothing listens there, or `PeerUnreachable`.
     */
    request(kind: FrameKind, body: unknown, timeoutMs: number): Promise<Result<unknown, StageError>> {
        const socket = this.socket ?? this.openSocket();
        const sequence = ++this.sequence;
        return new Promise(resolve => {
            const giveUp = () =>
                this.dropSocket(socket, createUnreachableError(this.options, "did not answer in time"));
            const cancelTimeout = scheduleTimeout(giveUp, timeoutMs);
            this.waiting.set(sequence, result => {
                cancelTimeout();
                resolve(result);
            });
            socket.write(encodeFrame({ kind, sequence, body }));
        });
    }

    /** Closes the connection; requests that wait fail. */
    close(): void {
        if (this.socket !== undefined) {
            this.dropSocket(this.socket, createUnreachableError(this.options, "was closed by this process"));
        }
    }

    private openSocket(): Socket {
        const { address, port, peerKey, maxFrameBytes } = this.options;
        const socket = createConnection({ host: address, port, noDelay: true });
        const reader = new FrameReader(maxFrameBytes);
        this.socket = socket;
        socket.write(encodeFrame({ kind: FrameKind.Hello, sequence: 0, body: { key: peerKey } }));
        socket.on("data", chunk => this.takeReplies(socket, reader, chunk));
        socket.on("error", failure => {
            const refused = (failure as NodeJS.ErrnoException).code === "ECONNREFUSED";
            this.dropSocket(
                socket,
                refused ? createRefusedError(this.options) : createUnreachableError(this.options, failure.message),
            );
        });
        socket.on(
            "close",
            () => this.dropSocket(socket, createUnreachableError(this.options, "closed the connection")),
        );
        return socket;
    }

    private takeReplies(socket: Socket, reader: FrameReader, chunk: Buffer): void {
        const frames = reader.takeChunk(chunk);
        if (frames.err) {
            this.dropSocket(socket, frames.val);
            return;
        }
        for (const frame of frames.val) {
            const settle = this.waiting.get(frame.sequence);
            this.waiting.delete(frame.sequence);
            const failed = frame.kind === FrameKind.Failure;
            settle?.(failed ? Err(createUnreachableError(this.options, String(frame.body))) : Ok(frame.body));
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
        `Nothing listens at peer ${options.address}:${options.port}.`,
        "Check that the process runs there.",
    );
}

function createUnreachableError(options: PeerClientOptions, detail: string): StageError {
    return new StageError(
        ErrorKind.PeerUnreachable,
        `Peer ${options.address}:${options.port} ${detail}.`,
        "Check the network between the two VMs.",
        RunEffect.MayHaveRun,
    );
}
