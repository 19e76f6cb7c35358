/** TLS settings of the servers for callers and operators. */
import { z } from 'zod';

const certificateSchema = z.strictObject({
  certificate: z.string().min(1),
  key: z.string().min(1),
});

/** Certificate and key files for each server; a server without them serves plain HTTP. */
export const tlsSchema = z.strictObject({
  callers: certificateSchema.nullable().default(null),
  operators: certificateSchema.nullable().default(null),
});

/** Names of the PEM files with the certificate and the key of a server. */
export type CertificateFiles = z.infer<typeof certificateSchema>;

/** Certificate files of all servers. */
export type TlsSettings = z.infer<typeof tlsSchema>;
