import { Code, ConnectError } from "@connectrpc/connect";
import { ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import { ErrorDetailSchema } from "@sardinestage/operator-rpc";

const codes: Partial<Record<ErrorKind, Code>> = {
    [ErrorKind.Unauthenticated]: Code.Unauthenticated,
    [ErrorKind.InvalidArgument]: Code.InvalidArgument,
    [ErrorKind.InvalidConfig]: Code.InvalidArgument,
    [ErrorKind.UnknownTask]: Code.NotFound,
    [ErrorKind.UnknownService]: Code.NotFound,
    [ErrorKind.UnknownWorker]: Code.NotFound,
    [ErrorKind.VersionConflict]: Code.Aborted,
    [ErrorKind.IdConflict]: Code.AlreadyExists,
    [ErrorKind.LogUnavailable]: Code.Unavailable,
    [ErrorKind.TooManyPending]: Code.ResourceExhausted,
};

/** Converts an expected failure to an RPC error whose detail has the failure's kind, effect and remedy. */
export function convertError(failure: StageError): ConnectError {
    const value = {
        kind: failure.kind,
        mayHaveRun: failure.effect === RunEffect.MayHaveRun,
        remedy: failure.remedy,
    };
    return new ConnectError(failure.message, codes[failure.kind] ?? Code.Internal, undefined, [
        { desc: ErrorDetailSchema, value },
    ]);
}
