import "../limits/limits-processes.steps";
