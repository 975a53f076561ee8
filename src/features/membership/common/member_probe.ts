/**
 * Direct and indirect probes of silent members.
 *
 * @module
 */

import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type {
  HostIdentity,
  ProcessIdentity,
} from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { ProbeAnswers } from "./failure_detector.ts";
import { pickRandom } from "./link_choice.ts";

const PING_TIMEOUT_MS: Milliseconds = 500;

/** Longer than a ping timeout, so that a helper can still report that its ping failed. */
const PROBE_TIMEOUT_MS: Milliseconds = 800;

const PROBE_HELPERS = 2;

interface ProbeMessage extends LinkMessage {
  readonly host: HostName;
  readonly startedAt: Milliseconds;
}

interface ProbeAnswer extends LinkMessage {
  readonly reached: boolean;
}

interface Pong extends LinkMessage {
  readonly startedAt: Milliseconds;
}

export interface MemberProbe extends Disposable {
  /** Whether the process answers a ping of this daemon. */
  ping(process: ProcessIdentity): Promise<boolean>;
  /** Asks two random helpers to ping the process, or pings it directly without helpers. */
  probe(
    process: ProcessIdentity,
    helpers: readonly HostName[],
  ): Promise<ProbeAnswers>;
}

export function createMemberProbe(
  self: HostIdentity,
  network: PeerNetwork,
  random: RandomSource,
): MemberProbe {
  const owned = createDisposableStore();

  async function ping({ host, startedAt }: ProcessIdentity): Promise<boolean> {
    const result = await network.request(host, { kind: "member-ping" }, {
      timeoutMilliseconds: PING_TIMEOUT_MS,
    });
    return result.ok && (result.val as Pong).startedAt === startedAt;
  }

  async function askHelper(
    helper: HostName,
    process: ProcessIdentity,
  ): Promise<boolean | undefined> {
    const message: ProbeMessage = { kind: "member-probe", ...process };
    const result = await network.request(helper, message, {
      timeoutMilliseconds: PROBE_TIMEOUT_MS,
    });
    return result.ok ? (result.val as ProbeAnswer).reached === true : undefined;
  }

  owned.add(network.onRequest("member-ping", (): Pong => ({
    kind: "member-pong",
    startedAt: self.process.startedAt,
  })));
  owned.add(
    network.onRequest("member-probe", async (_, message) => {
      const { host, startedAt } = message as ProbeMessage;
      const reached = await ping({ host: String(host), startedAt });
      const answer: ProbeAnswer = { kind: "member-probe-answer", reached };
      return answer;
    }),
  );

  return {
    ping,
    async probe(process, helpers) {
      const chosen = pickRandom(helpers, PROBE_HELPERS, random);
      if (chosen.length === 0) {
        const reached = await ping(process) ? 1 : 0;
        return { asked: 0, answered: 0, reached };
      }
      const answers = await Promise.all(
        chosen.map((helper) => askHelper(helper, process)),
      );
      return {
        asked: chosen.length,
        answered: answers.filter((answer) => answer !== undefined).length,
        reached: answers.filter((answer) => answer === true).length,
      };
    },
    dispose: () => owned.dispose(),
  };
}
