import { RestartHazard } from "./restartHazard.js";

const { LostAnswers, LateOrders, FencedLife, UnfencedLife, Takeovers } = RestartHazard;

/** The hazards of each class of plays in which workers restart under their ids. */
export const restartClasses: Readonly<Record<string, readonly RestartHazard[]>> = {
    "delays": [],
    "lost-answers": [LostAnswers],
    "late-orders": [LostAnswers, LateOrders],
    "fenced-life": [LostAnswers, LateOrders, FencedLife],
    "takeovers": [LostAnswers, LateOrders, FencedLife, Takeovers],
    "everything": Object.values(RestartHazard).filter(hazard => hazard !== UnfencedLife),
    "unfenced-life": [LostAnswers, LateOrders, UnfencedLife],
};
