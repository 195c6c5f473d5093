import type { WorkerPort } from "@sardinestage/call-platform";
import { ErrorKind, StageError } from "@sardinestage/errors";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import type { FakeLink } from "./fakeLink.js";
import type { FakeWorker } from "./fakeWorker.js";

const { Err, Ok } = tsResults;

interface FakePortOptions {
    /** The worker, or `undefined` once it is dead. */
    readonly findWorker: () => FakeWorker | undefined;
    readonly getLink: () => FakeLink;
    /** Whether the scheduler that this port belongs to has not been restarted. */
    readonly isAlive: () => boolean;
    /** Schedules a call for later delivery. */
    readonly scheduleDelivery: (deliver: () => void) => void;
}

/** Creates a scheduler's port to a fake worker, over a link with faults. */
export function createFakePort(options: FakePortOptions): WorkerPort {
    const unreachable = Err(new StageError(ErrorKind.WorkerUnreachable, "The worker does not answer.", "Retry later."));
    const stale = Err(new StageError(ErrorKind.StaleToken, "The lease token is stale.", "Acquire the lease again."));
    const held = Err(
        new StageError(ErrorKind.LeaseHeld, "Another scheduler holds the lease.", "Wait until the lease expires."),
    );

    async function call<T>(
        token: number | undefined,
        act: (worker: FakeWorker) => T,
        isStart = false,
    ): Promise<Result<T, StageError>> {
        const run = (): Result<T, StageError> => {
            const worker = options.findWorker();
            if (worker === undefined) {
                return unreachable;
            }
            return token === undefined || worker.checkToken(token) ? Ok(act(worker)) : stale;
        };
        const link = options.getLink();
        if (link === "cut" || !options.isAlive()) {
            return unreachable;
        }
        if (link === "late" || link === "startsLate" && isStart) {
            options.scheduleDelivery(run);
            return unreachable;
        }
        const result = run();
        return link === "answersLost" ? unreachable : result;
    }

    return {
        acquireLease: async (holder, ttlMs) => {
            const acquired = await call(undefined, worker => worker.acquireLease(holder, ttlMs));
            return acquired.andThen(token => token === undefined ? held : Ok(token));
        },
        renewLease: (token, order) => call(token, worker => worker.renewLease(order)),
        releaseLease: token => call(token, worker => worker.releaseLease()),
        startTask: (token, order) => call(token, worker => worker.startTask(order), true),
        checkpointTask: token => call(token, () => "0"),
        throttleTask: token => call(token, () => undefined),
        stopTask: (token, attempt) => call(token, worker => worker.stopTask(attempt)),
    };
}
