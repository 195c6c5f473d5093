import type { WorkerAddress } from "@sardinestage/describe-ports";
import type { RelayedCall } from "./relayedCall.js";
import { RelayedCallKind } from "./relayedCallKind.js";
import { resolveFence } from "./resolveFence.js";

type RenewalRow = [lastRecordedEnd: number, waitMs: number, leaseUntilMs: number | undefined, bornMs?: number];
type RunRow = [jobId: string, occurrence: number, step: number, index: number, run: number];
type PaceRow = [...RunRow, percent: number];
type StartRow = [...RunRow, payloadIndex: number, leaseUntilMs: number, checkpoint: string, ticket: string];

/** A call in a request, and its id within the session. */
interface IdentifiedCall {
    readonly id: number;
    readonly call: RelayedCall;
}

/** Number of values of a call of each kind after the id, the kind and the worker, without the fencing token. */
const valueCounts: Readonly<Record<RelayedCallKind, number>> = {
    [RelayedCallKind.RenewLease]: 4,
    [RelayedCallKind.Stop]: 5,
    [RelayedCallKind.Pace]: 6,
    [RelayedCallKind.Start]: 9,
};

/**
 * Converts calls to the lists of values that a request carries, and back. A fencing token that equals the request's term
 * is left out, any other one comes last; payloads are referred to by their index in the request's table.
 */
export class CallCodec {
    /**
     * Encodes a call.
     *
     * @param term The term of the request.
     * @param addPayload Adds a payload to the request's table and returns its index there.
     */
    static encodeCall(
        id: number,
        call: RelayedCall,
        term: number,
        addPayload: (payload: string) => number,
    ): unknown[] {
        const row = [id, call.kind, call.worker.id, call.worker.address, ...CallCodec.encodeValues(call, addPayload)];
        const fence = resolveFence(call);
        return fence === term ? row : [...row, fence];
    }

    /** Encodes what is specific to the kind of a call. */
    private static encodeValues(call: RelayedCall, addPayload: (payload: string) => number): unknown[] {
        switch (call.kind) {
            case RelayedCallKind.RenewLease: {
                const { lastRecordedEnd, waitMs, leaseUntilMs, bornMs } = call.order;
                return [lastRecordedEnd, waitMs, leaseUntilMs, bornMs];
            }
            case RelayedCallKind.Stop: {
                const { jobId, occurrence, step, index } = call.task;
                return [jobId, occurrence, step, index, call.run];
            }
            case RelayedCallKind.Pace: {
                const { jobId, occurrence, step, index } = call.task;
                return [jobId, occurrence, step, index, call.run, call.percent];
            }
            case RelayedCallKind.Start: {
                const { task, run, payload, leaseUntilMs, checkpoint, ticket } = call.order;
                const { jobId, occurrence, step, index } = task;
                const payloadIndex = addPayload(payload);
                return [jobId, occurrence, step, index, run, payloadIndex, leaseUntilMs, checkpoint, ticket];
            }
        }
    }

    /**
     * Decodes a call.
     *
     * @param row As `encodeCall` returned it.
     * @param term The term of the request: the fencing token of a call that carries none.
     * @param payloads The request's table of payloads.
     * @throws {TypeError} If the row isn't an encoded call.
     */
    static decodeCall(row: unknown, term: number, payloads: readonly string[]): IdentifiedCall {
        if (!Array.isArray(row)) {
            throw new TypeError("A relayed call isn't a list of values.");
        }
        const [id, kind, workerId, address, ...values] = row as [number, RelayedCallKind, string, string];
        const worker: WorkerAddress = { id: workerId, address, domain: "" };
        const fence = values[valueCounts[kind]] ?? term;
        if (!Number.isSafeInteger(fence)) {
            throw new TypeError(`A relayed call has the fencing token ${String(fence)}, which isn't a whole number.`);
        }
        return { id, call: decodeValues(kind, worker, values, fence as number, payloads) };
    }
}

function decodeValues(
    kind: RelayedCallKind,
    worker: WorkerAddress,
    values: unknown[],
    fence: number,
    payloads: readonly string[],
): RelayedCall {
    if (kind === RelayedCallKind.RenewLease) {
        const [lastRecordedEnd, waitMs, leaseUntilMs, bornMs] = values as RenewalRow;
        return { kind, worker, order: { fence, lastRecordedEnd, leaseUntilMs, waitMs, bornMs } };
    }
    const [jobId, occurrence, step, index, run] = values as RunRow;
    const task = { jobId, occurrence, step, index };
    switch (kind) {
        case RelayedCallKind.Stop:
            return { kind, worker, task, run, fence };
        case RelayedCallKind.Pace:
            return { kind, worker, task, run, percent: (values as PaceRow)[5], fence };
        case RelayedCallKind.Start: {
            const [, , , , , payloadIndex, leaseUntilMs, checkpoint, ticket] = values as StartRow;
            const payload = payloads[payloadIndex];
            return { kind, worker, order: { task, run, payload, leaseUntilMs, fence, checkpoint, ticket } };
        }
        default:
            throw new TypeError(`A relayed call has the unknown kind ${String(kind)}.`);
    }
}
