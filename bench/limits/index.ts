/** Upper limits: stranded room and costs against a fixed division, and the promise under random schedules. */
export { limitsExperiment } from "./limitsExperiment";
export { limitsSchedulesExperiment } from "./limitsSchedulesExperiment";
