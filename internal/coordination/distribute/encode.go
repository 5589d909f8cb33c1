package distribute

import (
	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// maxCachedMessages bounds the encoded messages that are kept between two changes.
const maxCachedMessages = 1024

// encodeCache holds messages that many subscriptions need in the same bytes.
type encodeCache map[cacheKey][]byte

// cacheKey names a difference: of the document when services is empty, else of
// the registry of these services.
type cacheKey struct {
	services string
	from, to uint64
}

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
	if encoded, err = frame.Encode(message); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cache) < maxCachedMessages {
		s.cache[key] = encoded
	}
	return encoded, nil
}

// encodeDocumentUpdate returns the message that takes a node from a revision to the
// current one: the changed sections, or the whole document.
func (s *Server) encodeDocumentUpdate(current *Sections, have uint64) ([]byte, error) {
	key := cacheKey{from: have, to: current.Revision()}
	return s.encodeCached(key, func() (*wire.Envelope, error) { return DocumentUpdate(current, have) })
}

// DocumentUpdate returns the message that takes a receiver from a revision to the
// current one: a StateDiff with the changed sections, or a StateFull with the
// whole document when the revision was never in force here or is too old.
func DocumentUpdate(current *Sections, have uint64) (*wire.Envelope, error) {
	if sections, ok := current.Since(have); ok {
		diff := &wire.StateDiff{BaseRevision: have, Revision: current.Revision(), Sections: sections}
		return &wire.Envelope{Body: &wire.Envelope_StateDiff{StateDiff: diff}}, nil
	}
	document, err := current.JSON()
	if err != nil {
		return nil, err
	}
	full := &wire.StateFull{Revision: current.Revision(), Document: document, DocumentOnly: true}
	return &wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: full}}, nil
}

func (s *Server) encodeRegistryDiff(services string, from uint64, diff membership.Difference) ([]byte, error) {
	key := cacheKey{services: services, from: from, to: diff.Version}
	return s.encodeCached(key, func() (*wire.Envelope, error) {
		message := &wire.StateDiff{
			BaseVersion:     from,
			RegistryVersion: diff.Version,
			Changed:         diff.Changed,
			Removed:         diff.Removed,
			Stale:           diff.Stale,
		}
		return &wire.Envelope{Body: &wire.Envelope_StateDiff{StateDiff: message}}, nil
	})
}
