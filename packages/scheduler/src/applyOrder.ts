import type { WorkerPort } from "@sardinestage/call-platform";
import type { StageError } from "@sardinestage/errors";
import { LogbookEvent } from "@sardinestage/fold-tasks";
import type { WorkerOrder } from "@sardinestage/plan-worker-orders";
import { OrderKind } from "@sardinestage/plan-worker-orders";
import type { Result } from "ts-results";

interface OrderContext {
    readonly port: WorkerPort;
    readonly token: number;
    readonly taskTtlMs: number;
}

/**
 * Sends one order to the worker. An order that failed may still have taken effect; the worker's next report shows it.
 *
 * @returns The event to write into the logbook.
 */
export async function applyOrder(order: WorkerOrder, context: OrderContext): Promise<Result<LogbookEvent, StageError>> {
    const { port, token, taskTtlMs } = context;
    switch (order.kind) {
        case OrderKind.Start: {
            const { taskId, generation, attempt, spec, checkpoint } = order;
            const started = await port.startTask(token, { taskId, generation, attempt, spec, checkpoint, taskTtlMs });
            return started.map(() => LogbookEvent.Started);
        }
        case OrderKind.Stop:
            return (await port.stopTask(token, order)).map(() => LogbookEvent.Stopped);
        case OrderKind.Throttle:
            return (await port.throttleTask(token, order, order.share)).map(() => LogbookEvent.Throttled);
        case OrderKind.Evict: {
            const checkpoint = await port.checkpointTask(token, order);
            // Without a confirmed checkpoint the work would be lost, so the task keeps running until the next round.
            return checkpoint.ok ? (await port.stopTask(token, order)).map(() => LogbookEvent.Evicted) : checkpoint;
        }
    }
}
