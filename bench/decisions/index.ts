/** What one placement costs as workers, pools and teams grow. */
export { decisionsExperiment } from "./decisionsExperiment";
