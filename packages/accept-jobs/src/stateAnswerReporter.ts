import type { Clock } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import { AnswerSource } from "./answerSource.js";
import type { JobStateAnswer } from "./jobStateAnswer.js";
import { SecondTimer } from "./secondTimer.js";

/** Logs once a second how many questions for jobs' states were answered, by source and outcome. */
export class StateAnswerReporter {
    private readonly timer: SecondTimer;
    private readonly states = new Map<AnswerSource, number>();
    private readonly absences = new Map<AnswerSource, number>();
    private unavailable = 0;
    private slowestMs = 0;

    constructor(clock: Clock, private readonly logger: EventLogger) {
        this.timer = new SecondTimer(clock, () => this.report());
    }

    /** Notes an answer. */
    noteAnswer(source: AnswerSource, answer: JobStateAnswer, tookMs: number): void {
        if ("isUnavailable" in answer) {
            this.unavailable++;
        }
        else {
            const counts = "state" in answer ? this.states : this.absences;
            counts.set(source, (counts.get(source) ?? 0) + 1);
        }
        this.slowestMs = Math.max(this.slowestMs, tookMs);
        this.timer.noteEvent();
    }

    /** Logs what isn't logged yet. */
    flush(): void {
        this.timer.flush();
    }

    private report(): void {
        const { states, absences, unavailable, slowestMs } = this;
        this.logger.info("job-states-answered", {
            fromCoordinator: states.get(AnswerSource.Coordinator),
            fromMemory: states.get(AnswerSource.Remembered),
            fromStore: states.get(AnswerSource.Store),
            absentAtCoordinator: absences.get(AnswerSource.Coordinator),
            absentInStore: absences.get(AnswerSource.Store),
            unavailable: unavailable > 0 ? unavailable : undefined,
            slowestMs: Math.round(slowestMs),
        });
        states.clear();
        absences.clear();
        this.unavailable = 0;
        this.slowestMs = 0;
    }
}
