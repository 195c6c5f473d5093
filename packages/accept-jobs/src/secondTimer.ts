import type { Clock } from "@sardinestage/describe-ports";

const MS_PER_SECOND = 1000;

/** Calls a report one second after the first event since the last report, so that a second without events has none. */
export class SecondTimer {
    private cancel: (() => void) | undefined;

    constructor(private readonly clock: Clock, private readonly report: () => void) {}

    /** Notes that something happened that the next report covers. */
    noteEvent(): void {
        this.cancel ??= this.clock.schedule(MS_PER_SECOND, () => this.flush());
    }

    /** Reports at once what has happened since the last report, if anything has. */
    flush(): void {
        if (this.cancel !== undefined) {
            this.cancel();
            this.cancel = undefined;
            this.report();
        }
    }
}
