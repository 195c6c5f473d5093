import { describe, expect, it } from "@jest/globals";
import type { WorkerAddress } from "@sardinestage/describe-ports";
import { Encoder } from "cbor-x";
import fc from "fast-check";
import { CallCodec } from "./callCodec.js";
import type { RelayedCall } from "./relayedCall.js";
import { RelayedCallKind } from "./relayedCallKind.js";
import { resolveFence } from "./resolveFence.js";

const SEED = 20261206;
const TERM = 1000;
const wire = new Encoder({ useRecords: false, mapsAsObjects: true });

const arbitraryWorker: fc.Arbitrary<WorkerAddress> = fc.record({
    id: fc.constantFrom("w1", "w2"),
    address: fc.constantFrom("a:1", "b:2"),
    // A relay isn't told the domain.
    domain: fc.constant(""),
});
const arbitraryTask = fc.record({ jobId: fc.string(), occurrence: fc.nat(), step: fc.nat(), index: fc.nat() });
const fence = fc.oneof(fc.constant(TERM), fc.integer({ min: TERM, max: 2 ** 40 }));
const run = fc.integer({ min: 1, max: 1000 });
const worker = arbitraryWorker;
const arbitraryCall: fc.Arbitrary<RelayedCall> = fc.oneof(
    fc.record({
        kind: fc.constant(RelayedCallKind.RenewLease as const),
        worker,
        order: fc.record({
            fence,
            lastRecordedEnd: fc.nat(),
            waitMs: fc.nat({ max: 2000 }),
            leaseUntilMs: fc.option(fc.nat(), { nil: undefined }),
            bornMs: fc.option(fc.nat({ max: 2_000_000_000_000 }), { nil: undefined }),
        }),
    }),
    fc.record({ kind: fc.constant(RelayedCallKind.Stop as const), worker, task: arbitraryTask, run, fence }),
    fc.record({
        kind: fc.constant(RelayedCallKind.Pace as const),
        worker,
        task: arbitraryTask,
        run,
        percent: fc.nat({ max: 100 }),
        fence,
    }),
    fc.record({
        kind: fc.constant(RelayedCallKind.Start as const),
        worker,
        order: fc.record({
            task: arbitraryTask,
            run,
            payload: fc.constantFrom("", "p1", "p2"),
            leaseUntilMs: fc.nat(),
            fence,
            checkpoint: fc.string(),
            ticket: fc.string(),
        }),
    }),
);

/** Encodes calls as a request carries them, and returns what arrives. */
function sendCalls(calls: readonly RelayedCall[]): { rows: unknown[][]; payloads: string[] } {
    const payloads: string[] = [];
    const addPayload = (payload: string) => {
        if (!payloads.includes(payload)) {
            payloads.push(payload);
        }
        return payloads.indexOf(payload);
    };
    const rows = calls.map((call, id) => CallCodec.encodeCall(id, call, TERM, addPayload));
    return wire.decode(wire.encode({ rows, payloads })) as { rows: unknown[][]; payloads: string[] };
}

describe("CallCodec", () => {
    it("gives back any calls as they were, with their fencing tokens", () => {
        fc.assert(
            fc.property(fc.array(arbitraryCall), calls => {
                const { rows, payloads } = sendCalls(calls);
                expect(rows.map(row => CallCodec.decodeCall(row, TERM, payloads)))
                    .toEqual(calls.map((call, id) => ({ id, call })));
            }),
            { seed: SEED, numRuns: 300 },
        );
    });

    it("adds nothing to the row of a call whose token is the term, and one value to that of any other", () => {
        const lengths = [8, 9, 10, 13];
        fc.assert(
            fc.property(arbitraryCall, call => {
                const isTerm = resolveFence(call) === TERM;
                expect(sendCalls([call]).rows[0].length).toBe(lengths[call.kind] + (isTerm ? 0 : 1));
            }),
            { seed: SEED, numRuns: 300 },
        );
    });

    it("reads a renewal of an earlier version, which names no life, as one with the term's token", () => {
        const { call } = CallCodec.decodeCall([1, RelayedCallKind.RenewLease, "w", "a:1", 5, 0, 4500], TERM, []);
        expect(call).toMatchObject({ order: { fence: TERM, lastRecordedEnd: 5, leaseUntilMs: 4500 } });
    });
});
