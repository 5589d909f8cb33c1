package node

import (
	"math/rand/v2"
	"sync"

	"github.com/chicorylever/chicorylever/internal/coordination/routing"
)

// trafficSplitter chooses the service for each request of a route by the weights of the
// route's traffic split. It is safe for concurrent use.
type trafficSplitter struct {
	mu       *sync.Mutex
	splitter *routing.Splitter
}

func newTrafficSplitter() trafficSplitter {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // not used for security
	return trafficSplitter{mu: &sync.Mutex{}, splitter: routing.NewSplitter(random)}
}

// peekService returns the service that chooseService would return, and changes nothing.
func (s trafficSplitter) peekService(route *routing.Route) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.splitter.Peek(route)
}

func (s trafficSplitter) chooseService(route *routing.Route) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.splitter.Choose(route)
}
