package wal

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

const identityFileName = "identity"

// Identity identifies a member. It is stored with the log: a member that loses its
// data, and with it the record of its votes, also loses its ID and so never votes
// again under the old ID.
type Identity struct {
	// MemberID is random and never 0.
	MemberID uint64 `json:"member_id,string"`
	// ClusterID is 0 until the member joins or creates a cluster.
	ClusterID uint64 `json:"cluster_id,string"`
}

// SaveIdentity makes the identity durable. Its error matches ErrFailed if this or an
// earlier write failed.
func (l *Log) SaveIdentity(identity Identity) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.checkFailure(); err != nil {
		return err
	}
	data, err := json.Marshal(identity)
	if err != nil {
		return errors.Wrap(err, "wal: encode identity")
	}
	if err := l.writeFileAtomically(identityFileName, data); err != nil {
		return l.markFailed("save identity", err)
	}
	return nil
}

// readIdentity returns nil if no identity is stored.
func (l *Log) readIdentity() (*Identity, error) {
	path := l.path(identityFileName)
	data, err := l.fs.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "wal: read identity")
	}
	identity := &Identity{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(identity); err != nil || identity.MemberID == 0 {
		return nil, &CorruptionError{File: path, Reason: "invalid member identity"}
	}
	return identity, nil
}
