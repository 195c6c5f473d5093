import { RefusalReason } from "@sardinestage/admit-requests";
import type { StageError } from "@sardinestage/errors";
import { ErrorKind } from "@sardinestage/errors";
import { FrameKind } from "@sardinestage/exchange-frames";
import type { RequestIdTable } from "@sardinestage/remember-requests";
import { IdCheckResult } from "@sardinestage/remember-requests";
import type { PeerAddress, PeerPool, VmDirectory } from "@sardinestage/track-members";
import type { Result } from "ts-results";
import { z } from "zod";

interface IdReserverOptions {
    readonly domain: string;
    readonly vm: string;
    readonly memory: RequestIdTable;
    readonly directory: VmDirectory;
    readonly peers: PeerPool;
}

const idBody = z.object({ id: z.string().max(200) });
const verdictReply = z.object({ verdict: z.enum(IdCheckResult) });

/** Reserves request ids, so that in the whole failure domain only one entry runs a request id, and only once. */
export class IdReserver {
    constructor(private readonly options: IdReserverOptions) {}

    /**
     * Reserves an id at this entry and at every listed peer. A peer that refuses the connection is skipped: its process
     * is not running, so no request can run there. When the peer restarts, it refuses ids created before its start.
     *
     * @returns The reason why the request must not run, or `undefined` if it may run.
     */
    async reserve(id: string): Promise<RefusalReason | undefined> {
        const { domain, vm, memory, directory, peers } = this.options;
        if (!directory.listEntryVms(domain).some(each => each.vm === vm)) {
            return RefusalReason.NotReady;
        }
        const own = convertVerdict(memory.remember(id));
        if (own !== undefined) {
            return own;
        }
        const others = directory.listEntryPeers(domain, vm);
        const replies = await Promise.all(others.map(peer => peers.request(peer, FrameKind.ReserveRequest, { id })));
        const refusals = replies.flatMap(reply => convertReply(reply) ?? []);
        const refusal =
            refusals.find(reason => reason === RefusalReason.DuplicateId || reason === RefusalReason.IdTooOld)
                ?? refusals[0];
        if (refusal !== undefined && refusal !== RefusalReason.DuplicateId && refusal !== RefusalReason.IdTooOld) {
            await this.release(id, others);
        }
        return refusal;
    }

    /** Releases an id here and at the peers. Only for a request that has certainly not run. */
    async release(id: string, others = this.listOthers()): Promise<void> {
        this.options.memory.drop(id);
        await Promise.all(others.map(peer => this.options.peers.request(peer, FrameKind.ReleaseRequest, { id })));
    }

    /** Handles a peer's request to reserve an id. */
    answerReserve(body: unknown): z.infer<typeof verdictReply> {
        return { verdict: this.options.memory.remember(idBody.parse(body).id) };
    }

    /** Handles a peer's request to release an id. */
    answerRelease(body: unknown): object {
        this.options.memory.drop(idBody.parse(body).id);
        return {};
    }

    private listOthers(): readonly PeerAddress[] {
        return this.options.directory.listEntryPeers(this.options.domain, this.options.vm);
    }
}

/** Converts a peer's reply to the reason why the request must not run, or `undefined` if it may run. */
function convertReply(reply: Result<unknown, StageError>): RefusalReason | undefined {
    if (reply.err) {
        return reply.val.kind === ErrorKind.PeerRefusedConnection ? undefined : RefusalReason.PeerUnreachable;
    }
    const parsed = verdictReply.safeParse(reply.val);
    return parsed.success ? convertVerdict(parsed.data.verdict) : RefusalReason.PeerUnreachable;
}

function convertVerdict(verdict: IdCheckResult): RefusalReason | undefined {
    switch (verdict) {
        case IdCheckResult.Fresh:
            return undefined;
        case IdCheckResult.Known:
            return RefusalReason.DuplicateId;
        case IdCheckResult.TooOld:
            return RefusalReason.IdTooOld;
        case IdCheckResult.FromFuture:
            return RefusalReason.IdFromFuture;
        case IdCheckResult.Malformed:
            return RefusalReason.Malformed;
        case IdCheckResult.TableFull:
            return RefusalReason.TooManyRequests;
    }
}
