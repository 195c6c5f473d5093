import type { AnswerSource } from "./answerSource.js";
import type { JobStateAnswer } from "./jobStateAnswer.js";

/** An answer to a question for a job's state, with its source. */
export interface SourcedAnswer {
    readonly source: AnswerSource;
    readonly answer: JobStateAnswer;
}
