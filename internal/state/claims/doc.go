// Package claims holds the replicated records of keyed requests, which let a
// request with an idempotency key run at most once.
//
// A record goes through these states:
//
//   - in progress: one attempt was granted the key and may dispatch.
//   - lost: the node that holds the claim lost its lease, or the attempt's
//     deadline has passed. Whether the request ran is unknown. The holder may
//     still record an outcome, or release when it did not dispatch.
//   - unknown: the holder reported that it dispatched and got no complete response.
//   - completed: the holder recorded the response.
//
// Only a release by the holder or the expiry of the record lets another attempt
// have the key. A record expires one retention time after the deadline of its
// attempt, so a record in progress never expires before its deadline. A lost
// record is never granted to another attempt, however long its node is gone,
// because the node may have dispatched before it was lost.
//
// Time, retention and capacity are fields of the commands, set by the member that
// proposes, so that members with different clocks or settings stay identical.
package claims
