// Package claims is the replicated state machine that lets a request with an
// idempotency key (a keyed request) run at most once. It holds one record per key.
//
// A claim is the exclusive right of one attempt at a request, made by one node
// (the holder), to dispatch the request. A record has one of these states:
//
//   - in progress: the claim was granted to one attempt, which may dispatch.
//   - lost: the holder's lease expired, the holder restarted, or the attempt's
//     deadline passed. Whether the request ran is unknown. The holder may still
//     record an outcome, or release the claim if it did not dispatch.
//   - unknown: the holder reported that it dispatched the request and received no
//     complete response.
//   - completed: the holder recorded the response.
//
// Another attempt can be granted the key only after the holder released the claim
// or the record expired. A record expires one retention time after the deadline of
// its attempt, so a record in progress never expires before its deadline. A lost
// record is not granted to another attempt before it expires, however long its node
// is unreachable, because the node may have dispatched before its lease expired.
//
// Time, retention and capacity are fields of the commands, set by the proposing
// member, so that members with different clocks or settings keep identical state.
package claims
