/** What an entry says of one team to the team's keeper. */
export type HoldingReport = {
  readonly team: string;
  /** Permits that the entry accounts for; it starts no work beyond them. */
  readonly held: number;
  /** Permits with work, and calls that wait for one. */
  readonly needed: number;
};

/** All that an entry says to one keeper. Teams that are left out hold and need nothing. */
export type PermitReport = {
  /** Entry and incarnation. */
  readonly member: string;
  /** Digest of the membership that the entry goes by. */
  readonly membership: string;
  /** Rises with each report of one incarnation to one keeper. */
  readonly sequence: number;
  /** True from the moment at which the entry starts no work any more and holds nothing. */
  readonly isLeaving: boolean;
  readonly holdings: readonly HoldingReport[];
};

/** What a keeper answers for one team. */
export type Loan = {
  readonly team: string;
  /** Permits that the entry may account for from now on. */
  readonly held: number;
  /** Permits that it may use; what it holds beyond goes back as work ends. */
  readonly allowed: number;
  /** Permits to keep in reserve after a long time without use. */
  readonly reserve: number;
  /** Whether others wait for permits, so that none may be kept in reserve. */
  readonly isContended: boolean;
};

/** A keeper's answer to a report. */
export type PermitReply =
  | {
      readonly kind: 'loans';
      /** Version of the view whose limits were applied. */
      readonly version: number;
      readonly loans: readonly Loan[];
    }
  /** Keeper and entry go by different memberships; the report was not used. */
  | { readonly kind: 'other-membership' }
  /** A later report came first; this one was not used. */
  | { readonly kind: 'overtaken' }
  /** The keeper's view is too old to lend by. */
  | { readonly kind: 'not-current' };
