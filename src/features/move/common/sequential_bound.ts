/**
 * Confidence bounds on a probability that stay valid when growing counts are tested repeatedly.
 *
 * A test with a fixed sample size, repeated each half second, eventually finds a difference even
 * between equal versions. These bounds are Robbins' confidence sequences for Bernoulli trials: the
 * ratio of the likelihood mixed over a uniform prior to the likelihood at the true probability is
 * a martingale with mean 1, so by Ville's inequality the probability that it ever exceeds 1/alpha
 * is at most alpha, regardless of the number and the times of the tests.
 *
 * @module
 */

/** Bisection steps; 30 give an error under 1e-9. */
const BISECTION_STEPS = 30;

/** The smallest probability that `events` of `trials` do not exclude at level `alpha`. */
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

/** The largest probability that `events` of `trials` do not exclude at level `alpha`. */
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
  const logMixtureLikelihood = logGamma(events + 1) +
    logGamma(trials - events + 1) -
    logGamma(trials + 2);
  const nonEvents = trials - events;
  const logLikelihood = events * Math.log(probability) +
    (nonEvents === 0 ? 0 : nonEvents * Math.log1p(-probability));
  return logMixtureLikelihood - logLikelihood >= -Math.log(alpha);
}

/** Finds the value at which `isBelow` changes from true (at `low`) to false (at `high`). */
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

/** The logarithm of the gamma function for `value` >= 1, by Stirling's series. */
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
