import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import type { EventLoopMonitor, WorkMeter } from "@sardinestage/watch-loop";

/** Time between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 2000;
/** A process that doesn't coordinate logs its load only if its event loop was later than this, in milliseconds. */
const MIN_REPORTED_DELAY_MS = 100;

/** Dependencies of a load reporter. */
interface LoadReporterParts {
    readonly loopMonitor: EventLoopMonitor;
    readonly meter: WorkMeter;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
    /** Processor time that this process has used, in milliseconds. */
    readonly getProcessorMs: () => number;
    readonly isCoordinator: () => boolean;
}

/** Logs the load of the process: always if it coordinates, otherwise only if its event loop was late. */
export class LoadReporter {
    /** Processor time at the last report. */
    private processorMs = 0;
    /** Totals of bytes at the last report. */
    private bytes: Readonly<Record<string, number>> = {};
    private cancel: (() => void) | undefined;
    private isClosed = false;

    constructor(private readonly parts: LoadReporterParts) {}

    /** Starts reporting. */
    start(): void {
        this.cancel = this.parts.clock.schedule(REPORT_INTERVAL_MS, () => {
            void this.report().finally(() => {
                if (!this.isClosed) {
                    this.start();
                }
            });
        });
    }

    /** Stops reporting. */
    close(): void {
        this.isClosed = true;
        this.cancel?.();
    }

    private async report(): Promise<void> {
        const { loopMonitor, meter, metrics, logger, getProcessorMs, isCoordinator } = this.parts;
        const loopDelayMs = Math.round(loopMonitor.takeLongestDelay());
        metrics.setGauge("loop_delay_milliseconds", loopDelayMs);
        const processorMs = getProcessorMs();
        const spent = meter.takeTimeSpent();
        const bytes = await metrics.readTotals("bytes_total");
        if (isCoordinator() || loopDelayMs > MIN_REPORTED_DELAY_MS) {
            const bytesSinceLast = Object.entries(bytes).map((
                [name, total],
            ) => [name, total - (this.bytes[name] ?? 0)]);
            logger.info("process-load", {
                isCoordinator: isCoordinator(),
                loopDelayMs,
                processorMs: Math.round(processorMs - this.processorMs),
                ...spent,
                ...Object.fromEntries(bytesSinceLast) as Record<string, number>,
            });
        }
        this.processorMs = processorMs;
        this.bytes = bytes;
    }
}
