import type { NewLogRecord } from "@sardinestage/call-platform";
import type { TaskEntry, TaskRecord } from "@sardinestage/fold-tasks";
import { TaskRecordKind } from "@sardinestage/fold-tasks";
import type { ConfigDocument, ServiceSpec, TaskSpec } from "@sardinestage/types";
import { TaskPhase, Urgency, WorkKind } from "@sardinestage/types";
import { createHash } from "node:crypto";

const REPLICA_FOLDER = "service";
const DIGEST_LENGTH = 8;

interface ReplicaView {
    readonly config: ConfigDocument;
    readonly domain: string;
    readonly tasks: Iterable<TaskEntry>;
}

/** The components of a replica's task id, apart from the last one. */
interface ReplicaId {
    /** The failure domain, which makes the ids differ when a service runs in several domains. */
    readonly domain: string;
    readonly service: string;
    readonly index: number;
    /** Digest of the service's configuration. */
    readonly digest: string;
}

/**
 * Decides which replica tasks are submitted and which are cancelled, so that each service has its configured number of
 * replicas in one failure domain. All schedulers of a domain plan the same ids, and the first record in the log wins.
 * After a change of the service, an old replica is cancelled only once its replacement is bound.
 */
export function planReplicas(view: ReplicaView): NewLogRecord[] {
    const records: NewLogRecord[] = [];
    const known = collectReplicas(view);
    const wanted = new Set<string>();
    for (const service of view.config.services) {
        const digest = computeDigest(service);
        for (let index = 0; index < (service.replicas[view.domain] ?? 0); index++) {
            const key = createKey({ domain: view.domain, service: service.name, index, digest });
            wanted.add(key);
            const entries = known.get(key) ?? [];
            if (!entries.some(isOpen)) {
                const predecessor = Math.max(0, ...entries.map(entry => entry.lastOffset));
                records.push(createSubmit(service, `${key}/${predecessor}`));
            }
        }
    }
    for (const [key, entries] of known) {
        if (!wanted.has(key) && !isReplacementUnbound(key, wanted, known)) {
            records.push(...entries.filter(isOpen).filter(entry => !entry.cancelRequested).map(createCancel));
        }
    }
    return records;
}

function collectReplicas({ domain, tasks }: ReplicaView): Map<string, TaskEntry[]> {
    const known = new Map<string, TaskEntry[]>();
    for (const entry of tasks) {
        if (entry.spec.taskId.startsWith(`${domain}/${REPLICA_FOLDER}/`)) {
            const key = entry.spec.taskId.slice(0, entry.spec.taskId.lastIndexOf("/"));
            known.set(key, [...known.get(key) ?? [], entry]);
        }
    }
    return known;
}

function isReplacementUnbound(key: string, wanted: Set<string>, known: Map<string, TaskEntry[]>): boolean {
    const withoutDigest = key.slice(0, key.lastIndexOf("/") + 1);
    const replacement = [...wanted].find(each => each.startsWith(withoutDigest));
    if (replacement === undefined) {
        return false;
    }
    return !(known.get(replacement) ?? []).some(entry => entry.phase === TaskPhase.Bound);
}

function isOpen(entry: TaskEntry): boolean {
    return entry.phase === TaskPhase.Waiting || entry.phase === TaskPhase.Bound || entry.phase === TaskPhase.Parked;
}

function createKey(id: ReplicaId): string {
    return `${id.domain}/${REPLICA_FOLDER}/${id.service}/${id.index}/${id.digest}`;
}

function computeDigest(service: ServiceSpec): string {
    const { team, size, concurrency, payload } = service;
    const text = JSON.stringify([team, size, concurrency, payload]);
    return createHash("sha256").update(text).digest("hex").slice(0, DIGEST_LENGTH);
}

function createSubmit(service: ServiceSpec, taskId: string): NewLogRecord {
    const spec: TaskSpec = {
        taskId,
        team: service.team,
        kind: WorkKind.LatencyCritical,
        urgency: Urgency.High,
        taskClass: service.name,
        size: service.size,
        expectedRunMs: 0,
        service: service.name,
        payload: service.payload,
    };
    const data: TaskRecord = { kind: TaskRecordKind.Submit, spec };
    return { id: `submit:${taskId}`, data };
}

function createCancel(entry: TaskEntry): NewLogRecord {
    const { taskId } = entry.spec;
    const data: TaskRecord = { kind: TaskRecordKind.Cancel, taskId, reason: "the configuration changed" };
    return { id: `cancel:${taskId}`, data };
}
