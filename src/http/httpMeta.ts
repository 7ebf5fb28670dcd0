/** What the gateway hands to an action, and what an action may set for the answer. */
export interface HttpMeta {
    /** The bearer secret of the request: a team's key or an operator's credential. */
    secret?: string;
    /** Aborted when the client goes away before its answer. */
    signal?: AbortSignal;
    $statusCode?: number;
    $responseType?: string;
    $responseHeaders?: Record<string, string>;
}
