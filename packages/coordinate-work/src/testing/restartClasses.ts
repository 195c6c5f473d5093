import { RestartHazard } from "./restartHazard.js";

const { LostAnswers, LateOrders, NextLife, Takeovers } = RestartHazard;

/** The hazards of each class of plays in which workers restart under their ids. */
export const restartClasses: Readonly<Record<string, readonly RestartHazard[]>> = {
    "delays": [],
    "lost-answers": [LostAnswers],
    "late-orders": [LostAnswers, LateOrders],
    "next-life": [LostAnswers, LateOrders, NextLife],
    "takeovers": [LostAnswers, LateOrders, NextLife, Takeovers],
    "everything": Object.values(RestartHazard),
};
