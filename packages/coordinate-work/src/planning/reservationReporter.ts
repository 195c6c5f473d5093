import type { Metrics } from "@sardinestage/count-metrics";
import type { EventLogger } from "@sardinestage/log-events";
import type { HeldReservation } from "@sardinestage/plan-starts";
import { ReservationOutcome } from "@sardinestage/plan-starts";

/** Dependencies of a reservation reporter. */
interface ReservationReporterParts {
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/** Counts reserved starts by what became of them, and logs those that were missed. */
export class ReservationReporter {
    private reportedCount = 0;

    /** @param getCount Returns the number of present reservations. */
    constructor(private readonly parts: ReservationReporterParts, private readonly getCount: () => number) {}

    /** Notes what became of a reservation. A step has few of them and each lasts a second or more, so that lines are few. */
    noteOutcome(outcome: ReservationOutcome, reservation: HeldReservation): void {
        this.parts.metrics.count("capacity_reservations_total", outcome);
        if (outcome === ReservationOutcome.Missed) {
            const { step, workerId, fromMs, lapsesAtMs, cpuMillis } = reservation;
            const job = step.occurrence.job.id;
            const marginMs = Math.round(lapsesAtMs - fromMs);
            this.parts.logger.info("reservation-missed", { job, worker: workerId, cpuMillis, marginMs });
        }
    }

    /** Updates the gauge of present reservations. */
    reportCount(): void {
        const count = this.getCount();
        if (count !== this.reportedCount) {
            this.reportedCount = count;
            this.parts.metrics.setGauge("capacity_reservations", count);
        }
    }
}
