/** Settings of the platform's services. */
import { z } from 'zod';

import { durationSchema } from './BaobabwellSettingsUnits';

const DEFAULT_TIMEOUT_MS = 800;

/** Where the platform's services are and how long one request to them may take. */
export const platformSchema = z.strictObject({
  url: z.url({ protocol: /^https?$/ }),
  timeout: durationSchema.default(DEFAULT_TIMEOUT_MS),
});
