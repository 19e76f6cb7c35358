/** Settings of the platform's services. */
import { z } from 'zod';

import { durationSchema } from './BaobabwellSettingsUnits';

const DEFAULT_TIMEOUT_MS = 800;

/** The URL of the platform's services and the timeout of one request to them. */
export const platformSchema = z.strictObject({
  url: z.url({ protocol: /^https?$/ }),
  timeout: durationSchema.default(DEFAULT_TIMEOUT_MS),
});
