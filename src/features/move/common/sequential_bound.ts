/**
 * Bounds on a failure probability that hold at every look at growing counts.
 *
 * A test with a fixed sample size, repeated each half second, finds a difference sooner or later
 * even between equal versions. These bounds are Robbins' confidence sequences for Bernoulli
 * trials: the ratio of the likelihood mixed over a uniform prior to the likelihood at the true
 * probability is a martingale with mean 1, so by Ville's inequality it ever exceeds 1/alpha with
 * a probability of at most alpha, however often and whenever one looks.
 *
 * @module
 */

/** Halvings of the search interval; 30 leave an error under 1e-9. */
const BISECTION_STEPS = 30;

/** The smallest probability that `events` of `trials` do not rule out at level `alpha`. */
export function lowerBound(
  events: number,
  trials: number,
  alpha: number,
): number {
  if (events <= 0 || trials <= 0) {
    return 0;
  }
  return bisect(
    0,
    events / trials,
    (probability) => excludes(probability, { events, trials, alpha }),
  );
}

/** The largest probability that `events` of `trials` do not rule out at level `alpha`. */
export function upperBound(
  events: number,
  trials: number,
  alpha: number,
): number {
  return 1 - lowerBound(trials - events, trials, alpha);
}

interface Observation {
  readonly events: number;
  readonly trials: number;
  readonly alpha: number;
}

function excludes(probability: number, observation: Observation): boolean {
  const { events, trials, alpha } = observation;
  const mixed = logGamma(events + 1) + logGamma(trials - events + 1) -
    logGamma(trials + 2);
  const others = trials - events;
  const atProbability = events * Math.log(probability) +
    (others === 0 ? 0 : others * Math.log1p(-probability));
  return mixed - atProbability >= -Math.log(alpha);
}

/** Finds where `isBelow`, true at `low` and false at `high`, changes. */
function bisect(
  low: number,
  high: number,
  isBelow: (value: number) => boolean,
): number {
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (isBelow(middle)) {
      low = middle;
    } else {
      high = middle;
    }
  }
  return low;
}

/** Stirling's series for the logarithm of the gamma function, for `value` of at least 1. */
function logGamma(value: number): number {
  let shift = 0;
  let shifted = value;
  while (shifted < 7) {
    shift -= Math.log(shifted);
    shifted += 1;
  }
  const inverse = 1 / shifted;
  const square = inverse * inverse;
  return shift + (shifted - 0.5) * Math.log(shifted) - shifted +
    0.5 * Math.log(2 * Math.PI) +
    inverse * (1 / 12 - square * (1 / 360 - square / 1_260));
}
