import { createContextValues } from "@connectrpc/connect";
import { expressConnectMiddleware } from "@connectrpc/connect-express";
import type { Metrics } from "@sardinestage/count-metrics";
import { describeFailure, ErrorKind, StageError } from "@sardinestage/errors";
import type { EventLogger } from "@sardinestage/log-events";
import type { RunningProcess } from "@sardinestage/run-process";
import { serveStatus } from "@sardinestage/run-process";
import { runPeriodically } from "@sardinestage/track-members";
import type { NextFunction, Request, Response } from "express";
import express from "express";
import { timingSafeEqual } from "node:crypto";
import type { Server } from "node:http";
import { createOperatorRoutes } from "./createOperatorRoutes.js";
import type { OperatorContext } from "./operatorContext.js";
import { operatorContextKey } from "./operatorContextKey.js";

/** Dependencies of an administration process. */
interface AdminParts {
    readonly context: OperatorContext;
    readonly metrics: Metrics;
    readonly logger: EventLogger;
}

/** The administration process: serves the operators' API and follows the log. */
export class Admin implements RunningProcess {
    private readonly stopLoops: (() => Promise<void>)[] = [];
    private servers: Server[] = [];
    private isDraining = false;

    constructor(private readonly parts: AdminParts) {}

    /** Opens the ports and starts reading the log. Rejects when a port is in use. */
    async start(): Promise<void> {
        const { context, metrics, logger } = this.parts;
        const { settings, config, directory, domains, peers } = context;
        const { address, metricsPort } = settings.process;
        this.servers.push(await this.listenForOperators());
        this.servers.push(
            await serveStatus({
                address,
                port: metricsPort,
                metrics,
                readStatus: () => ({
                    process: settings.process.name,
                    configVersion: config.history.getCurrent().version,
                }),
                isReady: () => !this.isDraining,
            }),
        );
        void config.follow();
        for (const { stream } of domains.values()) {
            void stream.follow();
        }
        const refresh = async () => {
            await directory.refresh();
            const vms = directory.listEntryVms(settings.process.domain);
            const schedulers = directory.listSchedulerPeers(settings.process.domain, "");
            await config.pullFromPeers(peers, vms.length === 0 ? [] : schedulers);
        };
        const handleFailure = (failure: unknown) => logger.error("loop-failed", { reason: describeFailure(failure) });
        this.stopLoops.push(runPeriodically(settings.platform.listIntervalMs, refresh, handleFailure));
    }

    /** Waits for the calls in progress, closes the ports, and stops reading the log. */
    async drain(): Promise<void> {
        this.isDraining = true;
        const { config, domains, peers } = this.parts.context;
        await Promise.all(this.servers.map(server =>
            new Promise(resolve => {
                server.close(resolve);
                server.closeIdleConnections();
            })
        ));
        await Promise.all(this.stopLoops.map(stop => stop()));
        config.stop();
        domains.forEach(({ stream }) => stream.stop());
        peers.close();
    }

    private listenForOperators(): Promise<Server> {
        const { context } = this.parts;
        const { admin, process } = context.settings;
        const app = express();
        app.disable("x-powered-by");
        app.use((request, response, next) => this.checkKey(request, response, next));
        app.use(expressConnectMiddleware({
            routes: createOperatorRoutes(context),
            contextValues: request => createContextValues().set(operatorContextKey, this.findOperator(request) ?? ""),
            readMaxBytes: context.settings.peers.maxFrameBytes,
        }));
        return new Promise((resolve, reject) => {
            const server = app.listen(admin.port, process.address, failure => {
                if (failure === undefined) {
                    resolve(server);
                }
                else {
                    reject(failure);
                }
            });
        });
    }

    private checkKey(request: Request, response: Response, next: NextFunction): void {
        if (this.findOperator(request) !== undefined) {
            next();
            return;
        }
        this.parts.metrics.count("refusals_total", ErrorKind.Unauthenticated);
        const failure = new StageError(
            ErrorKind.Unauthenticated,
            "The key is missing or unknown.",
            "Send a key from the settings as a bearer token.",
        );
        response.status(401).json({ code: "unauthenticated", message: failure.message });
    }

    private findOperator(request: { headers: { authorization?: string } }): string | undefined {
        const given = Buffer.from(/^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1] ?? "");
        return this.parts.context.settings.operators.find(({ key }) => {
            const wanted = Buffer.from(key);
            return wanted.length === given.length && timingSafeEqual(wanted, given);
        })?.name;
    }
}
