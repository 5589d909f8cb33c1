package document

import (
	"time"
)

const (
	// MaxEditIDBytes bounds the length of an edit ID, since edit IDs are kept in memory.
	MaxEditIDBytes = 128
	// EditResultRetention is how long the result of an edit is kept to answer resends,
	// measured by the times in commands. Versions are never reused, so a replacement or
	// removal that is resent later is still not applied twice: its result is Conflict.
	EditResultRetention = 24 * time.Hour
	// maxEditResults bounds the number of kept results; beyond it the oldest one is
	// dropped before its retention ends. The bound is twice the design target of 15,000
	// changes per day.
	maxEditResults = 30000
)

// editResult is the result of the first proposal of an edit, whether it was accepted
// or rejected.
type editResult struct {
	Team   string `json:"team"`
	EditID string `json:"edit_id"`
	Digest []byte `json:"digest"`
	AtMs   int64  `json:"at_ms"`
	Result Result `json:"result"`
}

type editKey struct {
	team   string
	editID string
}

func (r editResult) key() editKey { return editKey{r.Team, r.EditID} }

// editResults holds the kept results by team and edit ID and drops the oldest first.
type editResults struct {
	byKey map[editKey]editResult
	// queue holds the results in the order of their commands, oldest first.
	queue []editResult
	// limit is the largest number of kept results.
	limit int
}

func newEditResults() *editResults {
	return &editResults{byKey: map[editKey]editResult{}, limit: maxEditResults}
}

// find returns the kept result for the team and edit ID of edit.
func (e *editResults) find(edit Edit) (editResult, bool) {
	earlier, found := e.byKey[editKey{edit.Team, edit.EditID}]
	return earlier, found
}

func (e *editResults) add(result editResult) {
	if len(e.queue) >= e.limit {
		e.dropOldest()
	}
	e.byKey[result.key()] = result
	e.queue = append(e.queue, result)
}

// expire drops the results that are older than EditResultRetention at nowMs.
func (e *editResults) expire(nowMs int64) {
	for len(e.queue) > 0 && nowMs-e.queue[0].AtMs > EditResultRetention.Milliseconds() {
		e.dropOldest()
	}
}

func (e *editResults) dropOldest() {
	delete(e.byKey, e.queue[0].key())
	e.queue = e.queue[1:]
}
