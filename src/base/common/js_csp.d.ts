declare module "js-csp" {
  /** A channel as the library creates it; `src/base/common/channel.ts` gives it a type. */
  interface RawChannel {
    close(): void;
    closed: boolean;
  }
  interface RawBuffer {
    isFull(): boolean;
    count(): number;
  }
  type Instruction = { readonly __instruction: never };

  interface Csp {
    readonly CLOSED: null;
    readonly NO_VALUE: unknown;
    readonly buffers: {
      fixed(capacity: number): RawBuffer;
      dropping(capacity: number): RawBuffer;
      sliding(capacity: number): RawBuffer;
      promise(): RawBuffer;
    };
    chan(bufferOrCapacity?: RawBuffer | number): RawChannel;
    promiseChan(): RawChannel;
    go(body: () => Generator<unknown, unknown, unknown>): RawChannel;
    take(channel: RawChannel): Instruction;
    put(channel: RawChannel, value: unknown): Instruction;
    timeout(milliseconds: number): RawChannel;
    offer(channel: RawChannel, value: unknown): boolean;
    poll(channel: RawChannel): unknown;
    putAsync(
      channel: RawChannel,
      value: unknown,
      callback?: (accepted: boolean) => void,
    ): void;
    takeAsync(channel: RawChannel, callback?: (value: unknown) => void): void;
  }

  const csp: Csp;
  export default csp;
}
