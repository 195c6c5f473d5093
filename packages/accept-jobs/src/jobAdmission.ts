import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock } from "@sardinestage/describe-ports";
import type { JobOrigin } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import { SMALL_JOB_BYTES } from "@sardinestage/track-jobs";
import type { CoordinatorCall } from "./coordinatorCall.js";
import { CoordinatorCallKind } from "./coordinatorCallKind.js";
import type { CoordinatorReply } from "./coordinatorReply.js";
import { SubmitOutcome } from "./submitOutcome.js";

/** Jobs accepted so long ago are in what the coordinator tells of the room, in milliseconds. */
const COUNTED_MS = 3000;
/** A coordinator that takes longer to answer doesn't delay a job, which is accepted then, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1000;
/** Shortest time between two log lines on refused jobs, in milliseconds. */
const LOG_INTERVAL_MS = 1000;

/** Dependencies of `JobAdmission`. */
interface JobAdmissionParts {
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
    readonly callCoordinator: (call: CoordinatorCall) => Promise<CoordinatorReply | undefined>;
    /**
     * Returns the memory that this VM may let new jobs take of the coordinator without a question, in bytes; undefined
     * if no coordinator has told of it lately.
     */
    readonly getFreeJobBytes: () => number | undefined;
}

/**
 * Decides whether there is room for a new job among the open ones. The coordinator knows, and is asked about large jobs
 * and when room is short. Without a coordinator, or an answer from it, every job is accepted.
 */
export class JobAdmission {
    /** Jobs that were accepted without a question, the oldest first. */
    private accepted: { readonly atMs: number; readonly bytes: number }[] = [];
    private refusedSinceLogged = 0;
    private loggedAtMs = -Infinity;

    constructor(private readonly parts: JobAdmissionParts) {}

    /**
     * Decides whether a job may be accepted.
     *
     * @param bytes Memory that the job would take of the coordinator, in bytes.
     * @param origin Where the job comes from: there may be room for callers with few open jobs alone.
     * @returns Why the job isn't written to the store; undefined if it may be.
     */
    async findRefusal(
        id: string,
        bytes: number,
        origin: JobOrigin,
    ): Promise<SubmitOutcome.NoRoom | SubmitOutcome.Unknown | undefined> {
        const freeBytes = this.parts.getFreeJobBytes();
        if (freeBytes === undefined || this.tryAccepting(bytes, freeBytes)) {
            return undefined;
        }
        const reply = await this.requestAdmission({ kind: CoordinatorCallKind.Admit, id, bytes, ...origin });
        if (reply?.isRefused !== true) {
            return undefined;
        }
        this.recordRefusal(id, bytes, origin);
        return reply.isUnsure === true ? SubmitOutcome.Unknown : SubmitOutcome.NoRoom;
    }

    private tryAccepting(bytes: number, freeBytes: number): boolean {
        const nowMs = this.parts.clock.getNow();
        this.accepted = this.accepted.filter(({ atMs }) => nowMs - atMs < COUNTED_MS);
        const acceptedBytes = this.accepted.reduce((sum, job) => sum + job.bytes, 0);
        if (bytes > SMALL_JOB_BYTES || acceptedBytes + bytes > freeBytes) {
            return false;
        }
        this.accepted.push({ atMs: nowMs, bytes });
        return true;
    }

    private requestAdmission(call: CoordinatorCall): Promise<CoordinatorReply | undefined> {
        return new Promise(resolve => {
            const cancel = this.parts.clock.schedule(ANSWER_TIMEOUT_MS, () => resolve(undefined));
            void this.parts.callCoordinator(call).then(reply => {
                cancel();
                resolve(reply);
            });
        });
    }

    private recordRefusal(id: string, bytes: number, origin: JobOrigin): void {
        const { clock, logger, metrics } = this.parts;
        metrics.count("jobs_refused_total", "open-jobs");
        this.refusedSinceLogged++;
        const nowMs = clock.getNow();
        if (nowMs - this.loggedAtMs >= LOG_INTERVAL_MS) {
            logger.warn("job-refused", { job: id, bytes, ...origin, refused: this.refusedSinceLogged });
            this.loggedAtMs = nowMs;
            this.refusedSinceLogged = 0;
        }
    }
}
