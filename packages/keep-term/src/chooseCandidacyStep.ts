import type { CandidacyRules } from "./candidacyRules.js";
import { CandidacyStep } from "./candidacyStep.js";
import type { CoordinatorView } from "./coordinatorView.js";

/**
 * Decides whether a process follows the coordinator, reaches it through a peer, or campaigns for the next term. A wrong
 * decision costs a needless takeover but never safety: the store lets only one process win a term, and workers refuse
 * orders from the coordinator of an earlier term.
 */
export function chooseCandidacyStep(view: CoordinatorView, rules: CandidacyRules): CandidacyStep {
    const timeoutFactor = view.termAgeMs < rules.recentTakeoverMs ? rules.recentTakeoverFactor : 1;
    const isReachable = !view.isConnectionRefused && view.silentMs < rules.silenceMs;
    if (!view.isStoreAvailable) {
        return view.isReachableByPeer && !isReachable ? CandidacyStep.Relay : CandidacyStep.Follow;
    }
    if (!view.isKnown) {
        return CandidacyStep.Campaign;
    }
    const isRenewing = !view.isConnectionRefused && view.renewalAgeMs < rules.freshRenewalMs * timeoutFactor;
    if (view.isLeaving || (view.storeSilentMs >= rules.storeSilenceMs && !isRenewing)) {
        return CandidacyStep.Campaign;
    }
    if (isReachable) {
        return CandidacyStep.Follow;
    }
    if (view.isReachableByPeer) {
        return CandidacyStep.Relay;
    }
    const isFollowed = view.followers > 0 && view.followers >= view.members * rules.minFollowerShare;
    if (isRenewing && (isFollowed || view.silentMs < rules.unreachableMs)) {
        // The coordinator is busy, or only unreachable from this process: a takeover would only add to its load.
        return CandidacyStep.Follow;
    }
    const isIsolated = view.peers > 0 && view.peersAnswered === 0 && !view.isConnectionRefused;
    if (isIsolated && view.renewalAgeMs < rules.renewalSilenceMs) {
        return CandidacyStep.Follow;
    }
    return CandidacyStep.Campaign;
}
