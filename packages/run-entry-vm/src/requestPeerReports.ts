import { FrameKind } from "@sardinestage/exchange-frames";
import type { Candidate } from "@sardinestage/keep-term";
import type { PeerQuery } from "./peerQuery.js";
import type { PeerReport } from "./peerReport.js";
import type { Peers } from "./peers.js";

/** A peer and its report on the coordinator. */
interface ReceivedReport {
    readonly peer: Candidate;
    readonly report: PeerReport;
}

/**
 * Asks peers for their reports on the coordinator.
 *
 * @param query What the peers are told and asked.
 * @param timeoutMs Timeout of each request, in milliseconds.
 * @returns The reports of the peers that answered.
 */
export async function requestPeerReports(
    peers: Peers,
    asked: readonly Candidate[],
    query: PeerQuery,
    timeoutMs: number,
): Promise<readonly ReceivedReport[]> {
    const answers = await Promise.all(asked.map(async peer => {
        const answer = await peers.request(peer, FrameKind.AskPeer, query, timeoutMs);
        return answer.hasAnswered ? [{ peer, report: answer.body as PeerReport }] : [];
    }));
    return answers.flat();
}
