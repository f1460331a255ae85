/** Rules that `--mutate` can remove, each with the behaviour of the protocol without it. */
export const MUTATIONS = {
  'fence-check': 'a backend server accepts renewals of any keeper epoch',
  'lease-echo': 'a lease runs from the arrival of a renewal',
  'wait-lease': 'a keeper moves a shard without waiting until its lease has lapsed',
  margin: 'a keeper waits the lease length without the margin for the clock rate',
  'read-back': 'a write whose answer was lost counts as done',
  'settle-write':
    'a write that is missing when read back counts as failed although it may still take effect',
  tenure: 'a keeper renews regardless of when it last read the keeper row',
  'wait-tenure':
    'a keeper that replaced another does not wait until the tenure of that keeper has ended',
  'stand-down': 'the acting keeper does not ask the standby to stand down',
  'release-final': 'a backend server accepts a released shard again under the same epoch',
  'keeper-row-check': 'the write of a move does not check the keeper row',
  'start-identity': 'keepers renew and grant to any incarnation of the backend server',
  'start-row':
    'each keeper compares the incarnation with the one that it saw itself, not with the row',
  'epoch-reservation': 'a recorded move takes the epoch that is reserved for the stored successor',
  'successor-check':
    'a later keeper checks that the owner has lost the shard, but not the stored successor',
  'successor-renew': 'a later keeper renews the owner before it has fenced the stored successor',
  'version-check': 'the configuration is written without comparing its version',
  'writer-history': 'the row keeps the token of its last writer only',
  'report-incarnation': 'a report of a router counts even if the router has restarted since',
  'start-from-peers': 'a router that starts adopts the first configuration that is pushed to it',
  'gossip-order': 'a router adopts any configuration that a peer pushes, including older ones',
  'intent-first': 'a non-idempotent request is dispatched before its intent is known to be written',
  'repeat-check': 'a repeat is dispatched despite the unfinished intent of an earlier attempt',
  'proof-of-not-run': 'a lost connection counts as proof that the request was not run',
  'grant-unanswered': 'a release counts although a grant to the former owner is unanswered',
  'grant-lease': 'a key is granted to another server before the lease of the former one has lapsed',
  'grant-row-first': 'a key is granted to another server before the row names that server',
  'grant-inherited': 'a new leader moves a key while grants of the former leader may still arrive',
  'grant-fence':
    'a new leader renews under the tokens of the former one and counts its grants as fenced',
  'grant-settled': 'the row of a move states that no grant is unanswered even if one is',
  'grant-held':
    'the row of a move ignores unanswered grants in how long the former owner may hold the key',
  'grant-suspension': 'a leader acts after a suspension without confirming its leadership lease',
  'grant-grace':
    'a leader renews leases regardless of how long its leadership lease is unconfirmed',
  'grant-former-refused': 'a former leader that refuses the connection counts as ended',
  'end-refused': 'a connection that is refused to the leader alone proves the end of a server',
  'end-all-refused': 'connections that are refused to all routers prove the end of a server',
  'end-silent': 'a router that does not say whether it reaches a server counts as refused',
  'end-since': 'the proof of an end counts for grants that were answered after the question',
  'end-later-start': 'a later start in the registry proves the end of what was granted since',
  'leave-sight': 'the notice of a leaving server counts from when a router sees it',
  'leave-coverage': 'a report of the leader counts as new whatever it covers',
  'era-fence': 'tokens of a new era of the store are not above those of earlier eras',
  'era-row': 'the row has the same key in all eras, so a late write of an earlier era may match it',
  'era-answer': 'an answer of a later era confirms a leadership lease of an earlier one',
  'era-confirm':
    'a leader counts as confirmed in a new era before it has written the row of that era',
  'era-stale-leader':
    'a leader whose lease has expired when it learns of a new era goes on leading',
  'era-again':
    'a leader that was confirmed at one return of the store goes on at later ones without confirming',
  'era-thaw': 'a leader that was frozen counts its leadership lease as confirmed',
  'era-record':
    'a leader whose lease has expired when it learns of a new era hands over its record',
  'era-first': 'a router acquires the lease of a new era at once although the leader may live',
  'era-clear': 'the view of a follower counts as complete',
  'era-late': 'a release counts although grants of the former leader may still take effect',
  'era-grace':
    'a router that knows nothing waits for the longest lease, not for renewals of the former leader',
  'era-wait': 'a router that knows nothing waits for no lease',
} as const;

/** Name of a rule that can be removed; removing it is a mutation of the model. */
export type Mutation = keyof typeof MUTATIONS;

export const MUTATION_NAMES = Object.keys(MUTATIONS) as Mutation[];
