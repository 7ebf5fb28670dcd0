import { request } from "undici";

export interface HttpAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    // eslint-disable-next-line @typescript-eslint/no-explicit-any -- tests read answers of many shapes
    readonly body: any;
}

/** One HTTP request with a JSON body and a bearer secret. */
export async function callHttp(
    method: "GET" | "POST" | "DELETE",
    url: string,
    secret?: string,
    body?: unknown,
): Promise<HttpAnswer> {
    const response = await request(url, {
        method,
        headers: {
            ...secret === undefined ? {} : { authorization: `Bearer ${secret}` },
            ...body === undefined ? {} : { "content-type": "application/json" },
        },
        ...body === undefined ? {} : { body: JSON.stringify(body) },
    });
    const text = await response.body.text();
    let parsed: unknown = text;
    try {
        parsed = JSON.parse(text);
    }
    catch {
        // An answer that is not JSON is given as text.
    }
    return { status: response.statusCode, headers: response.headers, body: parsed };
}
