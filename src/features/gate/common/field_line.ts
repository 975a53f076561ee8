/**
 * Parses the lines of header and trailer sections (RFC 9110, section 5).
 *
 * @module
 */

export interface FieldLine {
  readonly name: string;
  readonly value: string;
}

const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Writers refuse values with these characters, since some recipients take them for the end of a line. */
const INVALID_TEXT = /[^\t\x20-\x7e\x80-\xff]/;
/** Names in error messages are cut to this length. */
const MAXIMUM_DESCRIBED_LENGTH = 40;

/** Whether a text decoded from latin1 has only characters that may occur in field values and reason phrases. */
export function isFieldText(text: string): boolean {
  return !INVALID_TEXT.test(text);
}

/** Returns the reason as a string if the line is invalid. */
export function parseFieldLine(line: string): FieldLine | string {
  const colon = line.indexOf(":");
  const name = line.slice(0, Math.max(0, colon));
  if (!FIELD_NAME.test(name)) {
    return "a header line is malformed";
  }
  const value = trimBlanks(line.slice(colon + 1));
  return isFieldText(value)
    ? { name, value }
    : `the value of the header ${
      name.slice(0, MAXIMUM_DESCRIBED_LENGTH)
    } contains a control character`;
}

/** Trims without a regular expression, which takes quadratic time on values with many inner blanks. */
function trimBlanks(text: string): string {
  let start = 0;
  let end = text.length;
  while (start < end && isBlank(text, start)) {
    start += 1;
  }
  while (end > start && isBlank(text, end - 1)) {
    end -= 1;
  }
  return text.slice(start, end);
}

function isBlank(text: string, index: number): boolean {
  const character = text[index];
  return character === " " || character === "\t";
}
