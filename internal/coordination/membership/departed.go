package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// departureMemory is how long a departed start of an upstream is remembered. It covers
// the time that an upstream goes on after it has announced its departure.
const departureMemory = 10 * time.Minute

// startKey identifies one start of an upstream.
type startKey struct {
	instance string
	start    string
}

// departures remembers which starts of upstreams are leaving. A node forgets it when it
// restarts, and an upstream may go on to announce itself as ready after its departure.
type departures map[startKey]time.Time

func keyOf(instance *wire.Instance) startKey {
	return startKey{instance: instance.GetId(), start: instance.GetStartId()}
}

// observe records a departure that the instance tells of. Otherwise it returns the
// instance marked as departing when its departure is known, and unchanged when not.
func (d departures) observe(now time.Time, instance *wire.Instance) *wire.Instance {
	if instance == nil {
		return nil
	}
	if instance.GetDeparting() {
		d.expire(now)
		d[keyOf(instance)] = now.Add(departureMemory)
		return instance
	}
	if _, departed := d[keyOf(instance)]; !departed {
		return instance
	}
	marked := proto.Clone(instance).(*wire.Instance)
	marked.Departing = true
	marked.State = wire.InstanceState_INSTANCE_LEAVING
	return marked
}

func (d departures) expire(now time.Time) {
	for key, until := range d {
		if now.After(until) {
			delete(d, key)
		}
	}
}
