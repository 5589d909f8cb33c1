package document

import (
	"time"
)

const (
	// MaxEditIDBytes bounds an edit ID, since edit IDs are kept in memory.
	MaxEditIDBytes = 128
	// EditMemory is how long the result of an edit is kept for resends, by the
	// time in commands. Base versions are never reused, so a later resend of a
	// replacement or removal is still not carried out twice but answered with Conflict.
	EditMemory = 24 * time.Hour
	// maxEditResults bounds the kept results; beyond it the oldest is dropped
	// early. It is twice the 15,000 changes per day of the target.
	maxEditResults = 30000
)

// editResult is the first result of an edit, refusals included.
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

// editResults finds first results by team and edit ID, and drops them oldest first.
type editResults struct {
	byKey map[editKey]editResult
	// order holds the results in the order of their commands, so in order of time.
	order []editResult
	limit int
}

func newEditResults() *editResults {
	return &editResults{byKey: map[editKey]editResult{}, limit: maxEditResults}
}

func (e *editResults) find(edit Edit) (editResult, bool) {
	earlier, found := e.byKey[editKey{edit.Team, edit.EditID}]
	return earlier, found
}

func (e *editResults) add(result editResult) {
	if len(e.order) >= e.limit {
		e.dropOldest()
	}
	e.byKey[result.key()] = result
	e.order = append(e.order, result)
}

func (e *editResults) expire(nowMs int64) {
	for len(e.order) > 0 && nowMs-e.order[0].AtMs > EditMemory.Milliseconds() {
		e.dropOldest()
	}
}

func (e *editResults) dropOldest() {
	delete(e.byKey, e.order[0].key())
	e.order = e.order[1:]
}
