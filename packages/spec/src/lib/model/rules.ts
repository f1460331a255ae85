/** Rules that `--mutate` can remove, with what the protocol does without each. */
export const MUTATIONS = {
  'fence-check': 'a backend server accepts renewals of any keeper epoch',
  'lease-echo': 'a lease runs from the arrival of a renewal',
  'wait-lease': 'a keeper moves a shard without waiting the lease out',
  margin: 'a keeper waits the lease length without the margin for the clock rate',
  'read-back': 'a write whose answer was lost counts as done',
  'settle-write': 'a write that reads back as missing counts as failed while it may still land',
  tenure: 'a keeper renews however long ago it read the keeper row',
  'wait-tenure': 'a keeper that replaced another does not wait the tenure out',
  'stand-down': 'the acting keeper does not ask the standby to stand down',
  'release-final': 'a backend server takes a released shard back under the same epoch',
  'keeper-row-check': 'the write of a move does not check the keeper row',
  'start-identity': 'keepers renew and grant to any start of the backend server',
  'start-row': 'each keeper compares the start with the one it saw itself, not with the row',
  'epoch-reservation': 'a recorded move takes the epoch that is reserved for the stored successor',
  'successor-check': 'a later keeper makes sure of the owner only, not of the stored successor',
  'successor-renew': 'a later keeper renews the owner before it has fenced the stored successor',
  'version-check': 'the configuration is written without comparing its version',
  'writer-history': 'the row remembers its last writer only',
  'report-incarnation': 'a report of a router counts even if the router has restarted since',
  'start-from-peers': 'a router that starts takes the first push that it hears',
  'gossip-order': 'a router takes any configuration that a peer pushes',
  'intent-first': 'a non-idempotent request is dispatched before its intent is known to be written',
  'repeat-check': 'a repeat goes on past the unfinished intent of an earlier attempt',
  'proof-of-not-run': 'a lost connection counts as proof that the request was not run',
  'grant-unanswered': 'a release counts although a grant to the former owner has no answer',
  'grant-lease': 'a key is granted to another server before the lease of the former one has lapsed',
  'grant-row-first': 'a key is granted to another server before the row says so',
  'grant-inherited': 'a new leader moves a key while grants of the former leader may arrive',
  'grant-fence':
    'a new leader renews under the tokens of the former one, and counts that as settled',
  'grant-settled': 'a stored move says that no grant is without an answer whether or not one is',
  'grant-held': 'a stored move leaves grants without an answer out of the time that it gives',
  'grant-suspension': 'a leader goes on after a suspension without confirming its seat',
  'grant-grace': 'a leader renews leases however long its seat is unconfirmed',
} as const;

/** Name of a rule that can be removed. */
export type Mutation = keyof typeof MUTATIONS;

/** Names of all mutations. */
export const MUTATION_NAMES = Object.keys(MUTATIONS) as Mutation[];
