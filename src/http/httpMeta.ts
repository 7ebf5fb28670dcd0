/** Metadata that the gateway passes to an action, and fields that an action may set for the response. */
export interface HttpMeta {
    /** The bearer secret of the request: a team's key or an operator's credential. */
    secret?: string;
    /** Aborted when the client disconnects before the response is complete. */
    signal?: AbortSignal;
    $statusCode?: number;
    $responseType?: string;
    $responseHeaders?: Record<string, string>;
}
