import type { ConnectRouter, HandlerContext } from "@connectrpc/connect";
import { StageError } from "@sardinestage/errors";
import { OperatorService } from "@sardinestage/operator-rpc";
import { ConfigCommands } from "./configCommands.js";
import { convertConfig } from "./convertConfig.js";
import { convertError } from "./convertError.js";
import { convertTask } from "./convertTask.js";
import type { OperatorContext } from "./operatorContext.js";
import { operatorContextKey } from "./operatorContextKey.js";
import { OperatorQueries } from "./operatorQueries.js";
import { TaskCommands } from "./taskCommands.js";

/** Creates the RPC routes of the operators' API, which call the commands and queries. */
export function createOperatorRoutes(context: OperatorContext): (router: ConnectRouter) => void {
    const tasks = new TaskCommands(context);
    const config = new ConfigCommands(context);
    const queries = new OperatorQueries(context);
    const operator = (call: HandlerContext) => call.values.get(operatorContextKey);
    const { history } = context.config;
    return router => {
        router.service(OperatorService, {
            getConfig: () => ({ current: convertConfig.toMessage(history.getCurrent()) }),
            listConfigHistory: () => ({ versions: history.listVersions().map(convertConfig.toMessage) }),
            publishConfig: ({ changeId, basedOn, config: document }, call) =>
                answerVersion(() =>
                    config.publish(changeId, basedOn, convertConfig.fromMessage(document), operator(call))
                ),
            createService: ({ changeId, service }, call) =>
                answerVersion(() =>
                    config.addService(changeId, convertConfig.serviceFromMessage(service!), operator(call))
                ),
            updateService: ({ changeId, service }, call) =>
                answerVersion(() =>
                    config.updateService(changeId, convertConfig.serviceFromMessage(service!), operator(call))
                ),
            deleteService: ({ changeId, name }, call) =>
                answerVersion(() => config.removeService(changeId, name, operator(call))),
            drainWorker: ({ changeId, worker }, call) =>
                answerVersion(() => config.drainWorker(changeId, worker, operator(call))),
            restoreWorker: ({ changeId, worker }, call) =>
                answerVersion(() => config.restoreWorker(changeId, worker, operator(call))),
            submitTask: ({ task }) =>
                answer(async () => ({
                    status: convertTask.toMessage(await tasks.submit(convertTask.fromMessage(task!))),
                })),
            cancelTask: ({ taskId, reason }) =>
                answer(async () => ({ status: convertTask.toMessage(await tasks.cancel(taskId, reason)) })),
            inspectTask: ({ taskId }) => answer(async () => ({ status: queries.readTask(taskId) })),
            listTasks: request => answer(async () => ({ tasks: queries.listTasks(request) })),
            listWorkers: ({ domain }) => answer(async () => queries.listWorkers(domain)),
            readLogbook: request => answer(async () => queries.readLogbook(request)),
            getStatus: () => answer(() => queries.readStatus()),
        });
    };
}

/** Makes a call and converts expected failures to RPC errors. */
async function answer<T>(call: () => Promise<T>): Promise<T> {
    try {
        return await call();
    }
    catch (failure) {
        throw failure instanceof StageError ? convertError(failure) : failure;
    }
}

function answerVersion(call: () => Promise<number>): Promise<{ version: number }> {
    return answer(async () => ({ version: await call() }));
}
