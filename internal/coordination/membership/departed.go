package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// departureRetention is how long the departure of an upstream start is kept. It covers
// the time that an upstream keeps running after it has announced its departure.
const departureRetention = 10 * time.Minute

// upstreamStart identifies one start of an upstream process.
type upstreamStart struct {
	instanceID string
	startID    string
}

// departures maps each upstream start that announced its departure to the time at which
// the entry expires. The control members keep departures because a node loses them when it
// restarts, and an upstream may continue to announce itself as ready after its departure.
type departures map[upstreamStart]time.Time

func upstreamStartOf(instance *wire.Instance) upstreamStart {
	return upstreamStart{instanceID: instance.GetId(), startID: instance.GetStartId()}
}

// applyDeparture records the departure of an instance that is marked as departing. An
// instance that is not marked is returned as a marked copy if the departure of its start
// is recorded, and unchanged otherwise.
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
	for key, expires := range d {
		if now.After(expires) {
			delete(d, key)
		}
	}
}
