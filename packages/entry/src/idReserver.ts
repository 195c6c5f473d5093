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
    readonly requestIds: RequestIdTable;
    readonly directory: VmDirectory;
    readonly peers: PeerPool;
}

const idBody = z.object({ id: z.string().max(200) });
const reserveReply = z.object({ verdict: z.enum(IdCheckResult) });

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
        const { domain, vm, requestIds, directory, peers } = this.options;
        if (!directory.listEntryVms(domain).some(each => each.vm === vm)) {
            return RefusalReason.NotReady;
        }
        const ownRefusal = convertCheckResult(requestIds.remember(id));
        if (ownRefusal !== undefined) {
            return ownRefusal;
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
        this.options.requestIds.drop(id);
        await Promise.all(others.map(peer => this.options.peers.request(peer, FrameKind.ReleaseRequest, { id })));
    }

    /** Handles a peer's request to reserve an id. */
    answerReserve(body: unknown): z.infer<typeof reserveReply> {
        return { verdict: this.options.requestIds.remember(idBody.parse(body).id) };
    }

    /** Handles a peer's request to release an id. */
    answerRelease(body: unknown): object {
        this.options.requestIds.drop(idBody.parse(body).id);
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
    const parsed = reserveReply.safeParse(reply.val);
    return parsed.success ? convertCheckResult(parsed.data.verdict) : RefusalReason.PeerUnreachable;
}

function convertCheckResult(result: IdCheckResult): RefusalReason | undefined {
    switch (result) {
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
