// A proxy in front of the link port of one daemon. It learns from the first frame which daemon has opened a
// connection. While two daemons are cut off from each other, bytes between them vanish and connections stay silent.
import net from "node:net";

export async function startLinkProxy({ host, target, address, hosts, isCut }) {
  const server = net.createServer((client) => {
    const upstream = net.connect(target.port, target.address);
    let dialler;
    let upgrade = Buffer.alloc(0);
    let held = [];
    let seen = Buffer.alloc(0);
    let isHeadRelayed = false;
    const drop = () => dialler !== undefined && isCut(dialler, host);
    client.on("data", (bytes) => {
      if (dialler === undefined) {
        seen = Buffer.concat([seen, bytes]);
        dialler = findDialler(seen, hosts);
        if (dialler !== undefined && !drop()) {
          for (const part of held) client.write(part);
          held = [];
        }
      }
      if (!drop()) upstream.write(bytes);
    });
    upstream.on("data", (bytes) => {
      if (!isHeadRelayed) {
        upgrade = Buffer.concat([upgrade, bytes]);
        const end = upgrade.indexOf("\r\n\r\n");
        if (end < 0) return;
        isHeadRelayed = true;
        client.write(upgrade.subarray(0, end + 4));
        if (upgrade.length > end + 4) held.push(upgrade.subarray(end + 4));
      } else if (dialler === undefined) {
        held.push(bytes);
      } else if (!drop()) {
        client.write(bytes);
      }
    });
    // A cut hides the end of a connection too.
    client.on("close", () => { if (!drop()) upstream.destroy(); else setTimeout(() => upstream.destroy(), 5_000); });
    upstream.on("close", () => { if (!drop()) client.destroy(); else setTimeout(() => client.destroy(), 5_000); });
    client.on("error", () => {});
    upstream.on("error", () => {});
  });
  await new Promise((resolve) => server.listen(0, address, resolve));
  return { endpoint: `${address}:${server.address().port}`, close: () => server.close() };
}

function findDialler(bytes, hosts) {
  const start = bytes.indexOf("\r\n\r\n");
  if (start < 0) return undefined;
  const frame = bytes.subarray(start + 4);
  if (frame.length < 6) return undefined;
  const short = frame[1] & 127;
  const maskAt = short < 126 ? 2 : short === 126 ? 4 : 10;
  const mask = frame.subarray(maskAt, maskAt + 4);
  const text = Buffer.from(frame.subarray(maskAt + 4).map((byte, index) => byte ^ mask[index % 4]))
    .toString("latin1");
  return hosts.find((host) => text.includes(host));
}
