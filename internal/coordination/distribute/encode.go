package distribute

import (
	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// maxCachedMessages bounds the number of encoded messages that are cached until the next
// change.
const maxCachedMessages = 1024

// encodeCache holds encoded messages that are the same for many subscriptions.
type encodeCache map[cacheKey][]byte

// cacheKey identifies an update between two document revisions when servicesKey is empty,
// otherwise between two versions of the registry of these services.
type cacheKey struct {
	servicesKey string
	from, to    uint64
	// compressed is set for the encoding of a receiver that accepts compressed messages.
	compressed bool
}

// encode returns the encoding of a message for such a receiver, or for any other one.
func (k cacheKey) encode(message *wire.Envelope) ([]byte, error) {
	if k.compressed {
		return frame.EncodeCompressed(message)
	}
	return frame.Encode(message)
}

// encodeCached returns the cached encoding of the message, or builds and encodes it.
func (s *Server) encodeCached(key cacheKey, build func() (*wire.Envelope, error)) ([]byte, error) {
	s.mu.Lock()
	encoded, ok := s.cache[key]
	s.mu.Unlock()
	if ok {
		return encoded, nil
	}
	message, err := build()
	if err != nil {
		return nil, err
	}
	if encoded, err = key.encode(message); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cache) < maxCachedMessages {
		s.cache[key] = encoded
	}
	return encoded, nil
}

// encodeDocumentUpdate returns the encoded DocumentUpdate of a node, which may accept compressed
// messages.
func (s *Server) encodeDocumentUpdate(current *Sections, haveRevision uint64, compressed bool) ([]byte, error) {
	key := cacheKey{from: haveRevision, to: current.Revision(), compressed: compressed}
	return s.encodeCached(key, func() (*wire.Envelope, error) { return DocumentUpdate(current, haveRevision) })
}

// DocumentUpdate returns the message that updates a receiver from the revision that it has
// to the current one: a StateDiff with the changed sections, or a StateFull with the
// complete document when this process did not apply that revision or it is too old.
func DocumentUpdate(current *Sections, haveRevision uint64) (*wire.Envelope, error) {
	if sections, ok := current.Since(haveRevision); ok {
		diff := &wire.StateDiff{BaseRevision: haveRevision, Revision: current.Revision(), Sections: sections}
		return &wire.Envelope{Body: &wire.Envelope_StateDiff{StateDiff: diff}}, nil
	}
	document, err := current.JSON()
	if err != nil {
		return nil, err
	}
	full := &wire.StateFull{Revision: current.Revision(), Document: document, DocumentOnly: true}
	return &wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: full}}, nil
}

// encodeRegistryDiff returns the encoded diff of the registry of some services.
func (s *Server) encodeRegistryDiff(servicesKey string, baseVersion uint64, diff membership.Difference) ([]byte, error) {
	key := cacheKey{servicesKey: servicesKey, from: baseVersion, to: diff.Version}
	return s.encodeCached(key, func() (*wire.Envelope, error) {
		message := &wire.StateDiff{
			BaseVersion:     baseVersion,
			RegistryVersion: diff.Version,
			Changed:         diff.Changed,
			Removed:         diff.Removed,
			Stale:           diff.Stale,
		}
		return &wire.Envelope{Body: &wire.Envelope_StateDiff{StateDiff: message}}, nil
	})
}
