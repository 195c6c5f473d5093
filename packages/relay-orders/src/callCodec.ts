import type { WorkerAddress } from "@sardinestage/describe-ports";
import type { RelayedCall } from "./relayedCall.js";
import { RelayedCallKind } from "./relayedCallKind.js";

type RenewalRow = [lastRecordedEnd: number, waitMs: number, leaseUntilMs: number | undefined, bornMs?: number];
type RunRow = [jobId: string, occurrence: number, step: number, index: number, run: number];
type PaceRow = [...RunRow, percent: number];
type StartRow = [...RunRow, payloadIndex: number, leaseUntilMs: number, checkpoint: string, ticket: string];

/** A call in a request, and its id within the session. */
interface IdentifiedCall {
    readonly id: number;
    readonly call: RelayedCall;
}

/**
 * Converts calls to the lists of values that a request carries, and back. Fencing tokens are left out, since the
 * request names the term; payloads are referred to by their index in the request's table.
 */
export class CallCodec {
    /** Encodes a call. `addPayload` adds a payload to the request's table and returns its index there. */
    static encodeCall(id: number, call: RelayedCall, addPayload: (payload: string) => number): unknown[] {
        const head = [id, call.kind, call.worker.id, call.worker.address];
        switch (call.kind) {
            case RelayedCallKind.RenewLease: {
                const { lastRecordedEnd, waitMs, leaseUntilMs, bornMs } = call.order;
                return [...head, lastRecordedEnd, waitMs, leaseUntilMs, bornMs];
            }
            case RelayedCallKind.Stop: {
                const { jobId, occurrence, step, index } = call.task;
                return [...head, jobId, occurrence, step, index, call.run];
            }
            case RelayedCallKind.Pace: {
                const { jobId, occurrence, step, index } = call.task;
                return [...head, jobId, occurrence, step, index, call.run, call.percent];
            }
            case RelayedCallKind.Start: {
                const { task, run, payload, leaseUntilMs, checkpoint, ticket } = call.order;
                const { jobId, occurrence, step, index } = task;
                const payloadIndex = addPayload(payload);
                return [...head, jobId, occurrence, step, index, run, payloadIndex, leaseUntilMs, checkpoint, ticket];
            }
        }
    }

    /**
     * Decodes a call.
     *
     * @param row As `encodeCall` returned it.
     * @param fence The term of the request.
     * @param payloads The request's table of payloads.
     * @throws {TypeError} If the row isn't an encoded call.
     */
    static decodeCall(row: unknown, fence: number, payloads: readonly string[]): IdentifiedCall {
        if (!Array.isArray(row)) {
            throw new TypeError("A relayed call isn't a list of values.");
        }
        const [id, kind, workerId, address, ...values] = row as [number, RelayedCallKind, string, string];
        const worker: WorkerAddress = { id: workerId, address, domain: "" };
        return { id, call: decodeValues(kind, worker, values, fence, payloads) };
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
