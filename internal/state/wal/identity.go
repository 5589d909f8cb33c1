package wal

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

const identityName = "identity"

// Identity names the member for as long as its data lives. It is lost together
// with the data, so that a member without its votes never votes under its old ID.
type Identity struct {
	// MemberID is random and never 0.
	MemberID uint64 `json:"member_id,string"`
	// ClusterID is 0 until the member belongs to a cluster.
	ClusterID uint64 `json:"cluster_id,string"`
}

// SaveIdentity makes the identity durable. It returns ErrFailed after any failure.
func (l *Log) SaveIdentity(identity Identity) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.failure(); err != nil {
		return err
	}
	data, err := json.Marshal(identity)
	if err != nil {
		return errors.Wrap(err, "wal: encode identity")
	}
	if err := l.writeFile(identityName, data); err != nil {
		return l.lockedFail("save identity", err)
	}
	return nil
}

// readIdentity returns nil when there is none.
func (l *Log) readIdentity() (*Identity, error) {
	path := l.path(identityName)
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
		return nil, &DamageError{File: path, Reason: "invalid identity"}
	}
	return identity, nil
}
