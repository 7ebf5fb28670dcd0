import type { DayTrace, Trace } from "./traceDay";

const [widthPx, panelPx, marginPx, rowPx] = [960, 200, 48, 14];
const colors = ["#1b6ca8", "#c8553d", "#588157", "#8d5a97", "#b08900", "#555555"];

/** Renders a day as SVG: one panel per kind of series, with a line per pool or queue, and one mark per event. */
export function drawDay({ traces, events }: DayTrace): string {
    const kinds = [...new Set(traces.map(seriesKind))];
    const lastS = Math.max(
        1,
        ...traces.flatMap(({ points }) => points.map(([atS]) => atS)),
        ...events.map(({ atS }) => atS),
    );
    const toX = (atS: number) => marginPx + atS / lastS * (widthPx - 2 * marginPx);
    const panels = kinds.map((kind, at) =>
        renderPanel(kind, traces.filter((trace) => seriesKind(trace) === kind), at, toX)
    );
    const heightPx = kinds.length * panelPx;
    const marks = events.map(({ atS, text }) =>
        `<line x1="${toX(atS).toFixed(1)}" x2="${toX(atS).toFixed(1)}" y1="0" y2="${heightPx}" stroke="#ddd">`
        + `<title>${escapeXml(`${atS.toFixed(1)} s: ${text}`)}</title></line>`
    );
    return `<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" height="${heightPx}" font-family="sans-serif" `
        + `font-size="11">${marks.join("")}${panels.join("")}</svg>\n`;
}

function seriesKind({ name }: Trace): string {
    return name.split(":", 1)[0] ?? name;
}

function renderPanel(kind: string, traces: readonly Trace[], at: number, toX: (atS: number) => number): string {
    const topPx = at * panelPx;
    const maxValue = Math.max(1, ...traces.flatMap(({ points }) => points.map(([, value]) => value)));
    const toY = (value: number) => topPx + panelPx - marginPx / 2 - value / maxValue * (panelPx - marginPx);
    const lines = traces.map(({ name, points }, index) => {
        const color = colors[index % colors.length];
        const path = points.map(([atS, value]) => `${toX(atS).toFixed(1)},${toY(value).toFixed(1)}`).join(" ");
        return `<polyline points="${path}" fill="none" stroke="${color}"/>`
            + `<text x="${widthPx - marginPx}" y="${topPx + rowPx * (index + 1)}" text-anchor="end" fill="${color}">${
                escapeXml(name)
            }</text>`;
    });
    return `<text x="4" y="${topPx + rowPx}">${escapeXml(kind)}, 0 to ${maxValue.toFixed(0)}</text>${lines.join("")}`;
}

function escapeXml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll("\"", "&quot;");
}
