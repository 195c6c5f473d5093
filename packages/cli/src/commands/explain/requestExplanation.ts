import type { CoordinatorCall, CoordinatorReply } from "@sardinestage/accept-jobs";
import { CoordinatorCallKind } from "@sardinestage/accept-jobs";
import type { PlacementExplanation } from "@sardinestage/describe-work";
import { ErrorKind, StageError } from "@sardinestage/errors";
import { FrameKind, PeerClient } from "@sardinestage/exchange-frames";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import { checkOutcome } from "./checkOutcome.js";

const { Err } = tsResults;

/** The largest answer that is accepted, in bytes: as between VMs. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;
/** Longer than an entry VM waits for the coordinator, in milliseconds. */
const TIMEOUT_MS = 3000;
/** How a peer's connection ends if the peer refuses the key. */
const CLOSED_BY_PEER = /closed the connection|ECONNRESET|EPIPE/;

/**
 * Asks the coordinator through an entry VM where a job's tasks would start.
 *
 * @param target The entry VM's peer address, and the installation's peer key.
 * @param question The job.
 */
export async function requestExplanation(
    target: { readonly address: string; readonly port: number; readonly peerKey: string },
    question: Pick<CoordinatorCall, "id" | "spec" | "queue">,
): Promise<Result<PlacementExplanation, StageError>> {
    const client = new PeerClient({ ...target, maxFrameBytes: MAX_FRAME_BYTES });
    const call: CoordinatorCall = { kind: CoordinatorCallKind.Explain, ...question };
    const answer = await client.request(FrameKind.CallCoordinator, call, TIMEOUT_MS);
    client.close();
    if (answer.err) {
        const isKeyRefused = answer.val.kind === ErrorKind.PeerUnreachable && CLOSED_BY_PEER.test(answer.val.problem);
        return Err(isKeyRefused ? createKeyError() : answer.val);
    }
    const { explanation } = (answer.val ?? {}) as CoordinatorReply;
    return explanation === undefined ? Err(createNoCoordinatorError()) : checkOutcome(explanation);
}

function createKeyError(): StageError {
    return new StageError(
        ErrorKind.Unauthenticated,
        "The entry VM closed the connection, as it does if the peer key is wrong.",
        "Check --peer-key, and that --peer is the VM's peer port; if both are right, its process may have ended.",
    );
}

function createNoCoordinatorError(): StageError {
    return new StageError(
        ErrorKind.NoCoordinator,
        "No coordinator answered: none is known, it is taking over, or it runs an earlier version.",
        "Try again in a few seconds, or give --peer another entry VM.",
    );
}
