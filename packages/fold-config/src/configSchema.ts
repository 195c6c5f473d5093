import { platformSchemas } from "@sardinestage/call-platform";
import { z } from "zod";
import { ConfigRecordKind } from "./configRecordKind.js";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "lower-case letters, digits and hyphens, up to 63");

const service = z.strictObject({
    name,
    team: name,
    replicas: z.record(z.string(), z.number().int().min(0).max(1000)),
    size: platformSchemas.resources,
    concurrency: z.number().int().min(1).max(1000),
    payload: z.string().max(65_536),
});

const team = z.strictObject({
    team: name,
    guaranteedShare: z.number().min(0).max(1),
    maximumShare: z.number().min(0).max(1),
});

const document = z.strictObject({
    services: z.array(service).max(2000),
    teams: z.array(team).max(2000),
    batchShare: z.number().min(0).max(0.9),
    drainedWorkers: z.array(z.string().max(200)).max(10_000).default([]),
}).check(context => {
    const { services, teams } = context.value;
    const addIssue = (path: string[], message: string) =>
        context.issues.push({ code: "custom", path, message, input: context.value });
    if (new Set(services.map(each => each.name)).size < services.length) {
        addIssue(["services"], "two services have the same name");
    }
    const known = new Set(teams.map(each => each.team));
    if (known.size < teams.length) {
        addIssue(["teams"], "two teams have the same name");
    }
    for (const each of services) {
        if (!known.has(each.team)) {
            addIssue(["services", each.name, "team"], `team '${each.team}' is not in teams`);
        }
    }
    // The tolerance allows for rounding errors in the sum of decimal fractions.
    if (teams.reduce((sum, each) => sum + each.guaranteedShare, 0) > 1 + 1e-9) {
        addIssue(["teams"], "the guaranteed shares add up to more than 1");
    }
    for (const each of teams) {
        if (each.maximumShare < each.guaranteedShare) {
            addIssue(["teams", each.team, "maximumShare"], "is below the guaranteed share");
        }
    }
});

const record = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal(ConfigRecordKind.Publish),
        basedOn: z.number().int(),
        operator: z.string().max(100),
        document: z.unknown(),
    }),
    z.object({ kind: z.literal(ConfigRecordKind.Retain), version: z.number().int(), document: z.unknown() }),
]);

/** Zod schemas of the configuration document and of the log records that carry it. */
export const configSchema = { document, record };
