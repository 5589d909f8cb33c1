package document

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// snapshotFormat is the version of the snapshot encoding. It changes when earlier versions
// of Restore cannot read the new encoding.
const snapshotFormat = 1

type snapshot struct {
	Format   int               `json:"format"`
	Revision uint64            `json:"revision"`
	NowMs    int64             `json:"now_ms"`
	Document *Document         `json:"document"`
	Versions map[string]uint64 `json:"versions"`
	// Items is absent from snapshots written by versions without batches.
	Items   map[string]itemVersion `json:"items,omitempty"`
	History []Change               `json:"history"`
	Edits   []editResult           `json:"edits"`
	// Rollouts is absent from snapshots written by versions without rollouts.
	Rollouts map[string]RolloutProgress `json:"rollouts,omitempty"`
}

// Snapshot returns the encoded state: document, versions, history and the edit results
// kept to answer resends.
func (m *Machine) Snapshot() ([]byte, error) {
	view := m.View()
	data, err := json.Marshal(snapshot{
		Format:   snapshotFormat,
		Revision: view.Revision,
		NowMs:    m.nowMs,
		Document: view.Document,
		Versions: view.versions,
		Items:    view.items,
		History:  view.history,
		Edits:    m.edits.queue,
		Rollouts: *m.progress.Load(),
	})
	return data, errors.Wrap(err, "encode document snapshot")
}

// Restore replaces the state by that of a snapshot. After an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode document snapshot")
	}
	if s.Format != snapshotFormat {
		return errors.Errorf("document snapshot has format %d, want %d", s.Format, snapshotFormat)
	}
	view := newView()
	view.Revision = s.Revision
	if s.Document != nil {
		view.Document = s.Document
		var parts struct {
			Document json.RawMessage `json:"document"`
		}
		if err := json.Unmarshal(data, &parts); err != nil {
			return errors.Wrap(err, "decode document snapshot")
		}
		view.Document.DropEarlierZero(parts.Document)
	}
	if s.Versions != nil {
		view.versions = s.Versions
	}
	view.items = s.Items
	view.history = s.History
	edits := newEditResults()
	for _, result := range s.Edits {
		edits.add(result)
	}
	m.edits = edits
	m.nowMs = s.NowMs
	if s.Rollouts == nil {
		s.Rollouts = map[string]RolloutProgress{}
	}
	m.progress.Store(&s.Rollouts)
	m.publish(view)
	return nil
}
