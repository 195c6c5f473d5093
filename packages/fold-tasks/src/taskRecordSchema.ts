import { platformSchemas } from "@sardinestage/call-platform";
import { TaskPhase } from "@sardinestage/types";
import { z } from "zod";
import { LogbookEvent } from "./logbookEvent.js";
import { TaskRecordKind } from "./taskRecordKind.js";

const taskId = z.string().min(1).max(200);
const worker = z.string().min(1).max(200);
const generation = z.number().int();
const token = z.number().int();
const reason = z.string().max(1000);

/** Schema of each kind of record in a task stream. */
export const taskRecordSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal(TaskRecordKind.Submit), spec: platformSchemas.taskSpec }),
    z.object({ kind: z.literal(TaskRecordKind.Cancel), taskId, reason }),
    z.object({ kind: z.literal(TaskRecordKind.Hold), worker, token, holder: z.string() }),
    z.object({ kind: z.literal(TaskRecordKind.Bind), taskId, generation, worker, token }),
    z.object({
        kind: z.literal(TaskRecordKind.Release),
        taskId,
        generation,
        worker,
        /** The lease token of the releasing holder; absent when the release carries out a condemnation. */
        token: token.optional(),
        condemnId: z.string().optional(),
        lastAttempt: z.number().int(),
        checkpoint: z.string().optional(),
        reason,
        /** Whether the task itself failed. Such failures are limited in number. */
        failed: z.boolean(),
    }),
    z.object({
        kind: z.literal(TaskRecordKind.Finish),
        taskId,
        generation,
        worker,
        attempt: z.number().int(),
        phase: z.enum([TaskPhase.Finished, TaskPhase.Failed, TaskPhase.Cancelled]),
        reason,
    }),
    z.object({ kind: z.literal(TaskRecordKind.Park), taskId, reason }),
    z.object({ kind: z.literal(TaskRecordKind.Unpark), taskId }),
    z.object({ kind: z.literal(TaskRecordKind.Condemn), worker, by: z.string() }),
    z.object({ kind: z.literal(TaskRecordKind.Contest), worker, condemnId: z.string() }),
    z.object({
        kind: z.literal(TaskRecordKind.Carry),
        spec: platformSchemas.taskSpec,
        phase: z.enum(TaskPhase),
        generation,
        worker: worker.optional(),
        lastAttempt: z.number().int(),
        checkpoint: z.string().optional(),
        failedOn: z.array(z.string()),
        cancelRequested: z.boolean(),
        submittedAtMs: z.number(),
        /** Offset of the newest record of the task that this copy includes. */
        asOf: z.number().int(),
    }),
    z.object({
        kind: z.literal(TaskRecordKind.Event),
        taskId,
        worker,
        attempt: z.number().int(),
        event: z.enum(LogbookEvent),
        reason,
        atMs: z.number(),
    }),
]);
