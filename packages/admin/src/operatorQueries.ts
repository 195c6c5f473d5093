import type { MessageInitShape } from "@bufbuild/protobuf";
import { ErrorKind, StageError } from "@sardinestage/errors";
import { FrameKind } from "@sardinestage/exchange-frames";
import type {
    GetStatusResponseSchema,
    ListTasksRequest,
    ListWorkersResponseSchema,
    ProcessStatusSchema,
    ReadLogbookRequest,
    ReadLogbookResponseSchema,
    TaskStatusSchema,
} from "@sardinestage/operator-rpc";
import type { VmRecord } from "@sardinestage/types";
import { TaskPhase } from "@sardinestage/types";
import { convertTask } from "./convertTask.js";
import type { DomainView } from "./domainView.js";
import { findDomain } from "./findDomain.js";
import type { OperatorContext } from "./operatorContext.js";

const DEFAULT_LIMIT = 100;

/** Operators' queries, answered from the log and from the list of VMs. */
export class OperatorQueries {
    constructor(private readonly context: OperatorContext) {}

    /**
     * Returns the status of a task.
     *
     * @throws StageError `UnknownTask` or `InvalidArgument`.
     */
    readTask(taskId: string): MessageInitShape<typeof TaskStatusSchema> {
        const entry = findDomain(this.context, taskId).stream.ledger.getTask(taskId);
        if (entry === undefined) {
            throw new StageError(ErrorKind.UnknownTask, `Task ${taskId} is not known.`, "Check the id.");
        }
        return convertTask.toMessage(entry);
    }

    /** Lists the most recently changed tasks of a failure domain, up to the limit; the newest change comes last. */
    listTasks(request: ListTasksRequest): MessageInitShape<typeof TaskStatusSchema>[] {
        const { ledger } = findDomain(this.context, request.domain).stream;
        return [...ledger.listTasks()]
            .filter(entry => request.phase === "" || entry.phase === request.phase)
            .sort((a, b) => a.lastOffset - b.lastOffset)
            .slice(-(request.limit || DEFAULT_LIMIT))
            .map(convertTask.toMessage);
    }

    /** Lists the workers of a failure domain. */
    listWorkers(domain: string): MessageInitShape<typeof ListWorkersResponseSchema> {
        const { ledger } = findDomain(this.context, domain).stream;
        const { drainedWorkers } = this.context.config.history.getCurrent().document;
        const workers = this.context.directory.listWorkers(domain).map(vm => ({
            name: vm.vm,
            rack: vm.rack,
            state: vm.state,
            drained: drainedWorkers.includes(vm.vm),
            capacity: vm.capacity,
            holder: ledger.getHold(vm.vm)?.holder,
            boundTasks: ledger.listBound(vm.vm).size,
            condemned: ledger.getCondemnation(vm.vm) !== undefined,
        }));
        return { workers };
    }

    /** Lists entries of a failure domain's logbook. */
    readLogbook(request: ReadLogbookRequest): MessageInitShape<typeof ReadLogbookResponseSchema> {
        const domain = findDomain(this.context, request.domain || request.taskId);
        const entries = domain.logbook.listEntries({
            taskId: request.taskId || undefined,
            worker: request.worker || undefined,
            fromMs: Number(request.fromMs) || undefined,
            toMs: Number(request.toMs) || undefined,
            limit: request.limit || DEFAULT_LIMIT,
        });
        return {
            lines: entries.map(({ atMs, taskId, worker, attempt, event, reason }) => ({
                atMs: BigInt(Math.round(atMs)),
                taskId,
                worker,
                attempt,
                event,
                reason,
            })),
        };
    }

    /** Returns an overview for the operator on call: counts of each failure domain and the status of each process. */
    async readStatus(): Promise<MessageInitShape<typeof GetStatusResponseSchema>> {
        const { config, domains, directory } = this.context;
        const vms = [...domains.keys()].flatMap(domain => directory.listEntryVms(domain));
        const processes = await Promise.all(vms.flatMap(vm => [
            this.readProcess(vm, "entry", vm.entryPeerPort),
            this.readProcess(vm, "scheduler", vm.schedulerPeerPort),
        ]));
        return {
            configVersion: config.history.getCurrent().version,
            domains: [...domains.values()].map(domain => this.describeDomain(domain)),
            processes,
        };
    }

    private async readProcess(
        vm: VmRecord,
        role: string,
        port: number | undefined,
    ): Promise<MessageInitShape<typeof ProcessStatusSchema>> {
        const peer = { vm: vm.vm, address: vm.address, port: port ?? 0 };
        const reply = await this.context.peers.request(peer, FrameKind.ReadStatus, {});
        return {
            vm: vm.vm,
            role,
            reachable: reply.ok,
            statusJson: reply.ok ? JSON.stringify(reply.val) : reply.val.problem,
        };
    }

    private describeDomain(view: DomainView) {
        const { ledger } = view.stream;
        const workers = this.context.directory.listWorkers(view.domain);
        const entries = [...ledger.listTasks()];
        const count = (phase: TaskPhase) => entries.filter(entry => entry.phase === phase).length;
        const ageMs = this.context.now() - view.stream.getFreshAtMs();
        return {
            domain: view.domain,
            waitingTasks: count(TaskPhase.Waiting),
            boundTasks: count(TaskPhase.Bound),
            parkedTasks: count(TaskPhase.Parked),
            workers: workers.length,
            condemnedWorkers: workers.filter(vm => ledger.getCondemnation(vm.vm) !== undefined).length,
            logAgeMs: BigInt(Number.isFinite(ageMs) ? Math.round(ageMs) : -1),
        };
    }
}
