/** Paths of the operators' interface and the actions behind them. */
export const operatorAliases = {
    "POST /operator/plans": "operators.plan",
    "GET /operator/plans": "operators.plans",
    "GET /operator/plans/:id": "operators.showPlan",
    "POST /operator/plans/:id/confirm": "operators.confirm",
    "POST /operator/plans/:id/pause": "operators.pause",
    "POST /operator/plans/:id/resume": "operators.resume",
    "POST /operator/plans/:id/cancel": "operators.cancel",
    "POST /operator/keys": "operators.grantKey",
    "DELETE /operator/keys/:id": "operators.withdrawKey",
    "GET /operator/state": "operators.state",
    "GET /operator/entries": "operators.entries",
    "GET /operator/revisions/:revision": "operators.revision",
    "GET /operator/pools": "operators.pools",
    "GET /operator/instances": "operators.instances",
    "GET /operator/waves": "operators.waves",
} as const;
