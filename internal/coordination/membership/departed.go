package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// departureRetention is how long a departed start of an upstream is remembered. It covers
// the time that an upstream goes on after it has announced its departure.
const departureRetention = 10 * time.Minute

// upstreamStart identifies one start of an upstream.
type upstreamStart struct {
	instanceID string
	startID    string
}

// departures remembers which starts of upstreams are leaving. A node forgets it when it
// restarts, and an upstream may go on to announce itself as ready after its departure.
type departures map[upstreamStart]time.Time

func upstreamStartOf(instance *wire.Instance) upstreamStart {
	return upstreamStart{instanceID: instance.GetId(), startID: instance.GetStartId()}
}

// applyDeparture records a departure that the instance tells of. Otherwise it returns the
// instance marked as departing when its departure is known, and unchanged when not.
func (d departures) applyDeparture(now time.Time, instance *wire.Instance) *wire.Instance {
	if instance == nil {
		return nil
	}
	if instance.GetDeparting() {
		d.removeExpired(now)
		d[upstreamStartOf(instance)] = now.Add(departureRetention)
		return instance
	}
	if _, departed := d[upstreamStartOf(instance)]; !departed {
		return instance
	}
	marked := proto.Clone(instance).(*wire.Instance)
	marked.Departing = true
	marked.State = wire.InstanceState_INSTANCE_LEAVING
	return marked
}

func (d departures) removeExpired(now time.Time) {
	for key, until := range d {
		if now.After(until) {
			delete(d, key)
		}
	}
}
