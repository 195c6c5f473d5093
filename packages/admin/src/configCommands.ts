import { ErrorKind, StageError } from "@sardinestage/errors";
import type { ConfigDocument, ServiceSpec } from "@sardinestage/types";
import type { OperatorContext } from "./operatorContext.js";

/** Operators' commands that change the configuration. Each resolves to the new version of the configuration. */
export class ConfigCommands {
    constructor(private readonly context: OperatorContext) {}

    /** Replaces the whole configuration. */
    publish(changeId: string, basedOn: number, document: ConfigDocument, operator: string): Promise<number> {
        checkChangeId(changeId);
        return this.context.publisher.publish(changeId, basedOn, document, operator);
    }

    /** Adds a service. */
    addService(changeId: string, service: ServiceSpec, operator: string): Promise<number> {
        return this.update(changeId, operator, current => {
            if (current.services.some(each => each.name === service.name)) {
                throw new StageError(
                    ErrorKind.IdConflict,
                    `Service ${service.name} exists.`,
                    "Update it, or create it under another name.",
                );
            }
            return { ...current, services: [...current.services, service] };
        });
    }

    /** Replaces a service. */
    updateService(changeId: string, service: ServiceSpec, operator: string): Promise<number> {
        return this.update(changeId, operator, current => {
            checkService(current, service.name);
            const services = current.services.map(each => each.name === service.name ? service : each);
            return { ...current, services };
        });
    }

    /** Removes a service. */
    removeService(changeId: string, name: string, operator: string): Promise<number> {
        return this.update(changeId, operator, current => {
            checkService(current, name);
            return { ...current, services: current.services.filter(each => each.name !== name) };
        });
    }

    /** Drains a worker, so that it gets no new work. */
    drainWorker(changeId: string, worker: string, operator: string): Promise<number> {
        const domains = [...this.context.domains.keys()];
        const known = domains.flatMap(domain => this.context.directory.listWorkers(domain)).map(vm => vm.vm);
        if (!known.includes(worker)) {
            throw new StageError(
                ErrorKind.UnknownWorker,
                `Worker ${worker} is not listed.`,
                "Check its name.",
            );
        }
        return this.update(changeId, operator, current => ({
            ...current,
            drainedWorkers: [...new Set([...current.drainedWorkers, worker])],
        }));
    }

    /** Restores a drained worker, so that it gets work again. */
    restoreWorker(changeId: string, worker: string, operator: string): Promise<number> {
        return this.update(changeId, operator, current => ({
            ...current,
            drainedWorkers: current.drainedWorkers.filter(each => each !== worker),
        }));
    }

    private update(
        changeId: string,
        operator: string,
        change: (current: ConfigDocument) => ConfigDocument,
    ): Promise<number> {
        checkChangeId(changeId);
        return this.context.publisher.update(changeId, operator, change);
    }
}

function checkChangeId(changeId: string): void {
    if (!/^[\w.:-]{1,100}$/.test(changeId)) {
        throw new StageError(
            ErrorKind.InvalidArgument,
            "The change id is missing or malformed.",
            "Choose an id of up to 100 letters, digits and _.:- and repeat the call with it when in doubt.",
        );
    }
}

function checkService(current: ConfigDocument, name: string): void {
    if (!current.services.some(each => each.name === name)) {
        throw new StageError(
            ErrorKind.UnknownService,
            `Service ${name} is not known.`,
            "Check the name, or create it.",
        );
    }
}
