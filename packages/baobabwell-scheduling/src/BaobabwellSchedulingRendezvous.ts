const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/**
 * Computes FNV-1a over the UTF-16 code units, with the finalizer of MurmurHash3 to spread short
 * keys.
 */
function getHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FIRST);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_SECOND);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Chooses one of `candidates` for a key by rendezvous hashing: when a candidate is removed, only
 * its own keys move. Returns `null` without candidates.
 */
export function findRendezvousOwner(key: string, candidates: readonly string[]): string | null {
  let best: string | null = null;
  let bestHash = -1;
  candidates.forEach((candidate) => {
    const hash = getHash(`${key}\n${candidate}`);
    if (hash > bestHash || (hash === bestHash && best !== null && candidate < best)) {
      best = candidate;
      bestHash = hash;
    }
  });
  return best;
}
