import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createSystemClock, waitFor } from './clock.js';

// Deadlines come from callers. A longer one than a timer takes fired it again and again, at once.
test('a timer with a longer delay than the runtime takes does not fire at once', async () => {
  const clock = createSystemClock();
  let hasFired = false;
  const cancel = clock.schedule(999_999_999_999, () => (hasFired = true));
  await waitFor(clock, 20);
  cancel();
  assert.equal(hasFired, false);
});
